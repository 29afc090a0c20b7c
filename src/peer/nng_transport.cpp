#include <parsleyplank/core/error.hpp>
#include <parsleyplank/core/log.hpp>
#include <parsleyplank/peer/nng_transport.hpp>

#include <arpa/inet.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/supplemental/util/platform.h>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace parsleyplank::peer
{

namespace
{

constexpr nng_duration error_pause_ms = 100;

// nng 1.5.2 can wait forever in nng_close of a socket over which a message is
// being received. A socket that nobody receives from takes one more message
// per connection and is then at rest, within this time.
constexpr nng_duration settle_ms = 20;

// Largest message that is received over a connection to a peer, in bytes. Peers
// send nothing there; nng receives a message before it closes the connection,
// and its default is no limit.
constexpr std::size_t max_unexpected_bytes = 1;

// Bounds the wait for nng_close should a message still arrive during it.
constexpr std::chrono::seconds close_bound{2};

void check(int code, const std::string& what)
{
    if (code != 0)
        throw error(what + ": " + nng_strerror(code));
}

std::string url_of(const peer_address& where)
{
    const bool v6 = where.address.find(':') != std::string::npos;
    return "tcp://" + (v6 ? "[" + where.address + "]" : where.address) + ":" +
           std::to_string(where.port);
}

// Owns a socket; closing drops what it holds.
class socket_owner
{
public:
    socket_owner() = default;

    ~socket_owner()
    {
        nng_close(handle);
    }

    socket_owner(const socket_owner&) = delete;
    socket_owner& operator=(const socket_owner&) = delete;

    nng_socket handle = NNG_SOCKET_INITIALIZER;
};

// Returns "ADDRESS:PORT" of the connection that a message came over.
std::string source_of(nng_msg* msg)
{
    nng_sockaddr from{};
    if (nng_pipe_get_addr(nng_msg_get_pipe(msg), NNG_OPT_REMADDR, &from) != 0)
        return "unknown peer";
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (from.s_family == NNG_AF_INET)
    {
        inet_ntop(AF_INET, &from.s_in.sa_addr, text.data(), text.size());
        return std::string(text.data()) + ":" +
               std::to_string(ntohs(from.s_in.sa_port));
    }
    if (from.s_family == NNG_AF_INET6)
    {
        inet_ntop(AF_INET6, from.s_in6.sa_addr, text.data(), text.size());
        return "[" + std::string(text.data()) +
               "]:" + std::to_string(ntohs(from.s_in6.sa_port));
    }
    return "unknown peer";
}

// Owns an asynchronous operation.
class aio_owner
{
public:
    aio_owner()
    {
        check(nng_aio_alloc(&handle, nullptr, nullptr), "receive operation");
    }

    ~aio_owner()
    {
        nng_aio_free(handle);
    }

    aio_owner(const aio_owner&) = delete;
    aio_owner& operator=(const aio_owner&) = delete;

    nng_aio* handle = nullptr;
};

// Closes a socket that messages may still arrive on. Returns false if that did
// not end within the bound; it then goes on in a thread of its own.
bool close_within_bound(nng_socket handle)
{
    std::packaged_task<int()> closing([handle] { return nng_close(handle); });
    auto closed = closing.get_future();
    std::thread(std::move(closing)).detach();
    return closed.wait_for(close_bound) == std::future_status::ready;
}

struct atomic_counts
{
    std::atomic<std::uint64_t> messages_sent{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> messages_received{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> dropped_buffer_full{0};
    std::atomic<std::uint64_t> dropped_unknown_peer{0};
    std::atomic<std::uint64_t> undecodable{0};
};

} // namespace

struct nng_transport::state
{
    state(nng_settings chosen, receive_handler called)
        : settings(std::move(chosen)), handler(std::move(called))
    {
    }

    void listen();
    std::unique_ptr<socket_owner> dial(const peer_address& where) const;
    void receive_all();
    void handle(nng_msg* msg);

    const nng_settings settings;
    const receive_handler handler;
    log4cplus::Logger log = component_logger("peer");
    atomic_counts counts;
    std::atomic<std::uint64_t> sequence{0};
    std::uint16_t bound_port = 0;
    std::mutex mutex;
    std::map<instance_id, std::shared_ptr<socket_owner>> peers;
    socket_owner pull;
    aio_owner receive;
    std::thread receiver;
};

void nng_transport::state::listen()
{
    const auto url = url_of(settings.listen);
    check(nng_pull0_open(&pull.handle), "pull socket");
    check(nng_socket_set_size(pull.handle, NNG_OPT_RECVMAXSZ,
                              settings.max_message_bytes),
          "largest message");
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    check(nng_listen(pull.handle, url.c_str(), &listener, 0), url);
    int port = 0;
    check(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port), url);
    bound_port = static_cast<std::uint16_t>(port);
}

std::unique_ptr<socket_owner>
nng_transport::state::dial(const peer_address& where) const
{
    const auto url = url_of(where);
    auto push = std::make_unique<socket_owner>();
    check(nng_push0_open(&push->handle), "push socket");
    check(nng_socket_set_int(push->handle, NNG_OPT_SENDBUF,
                             settings.send_buffer_messages),
          "send buffer");
    check(nng_socket_set_size(push->handle, NNG_OPT_RECVMAXSZ,
                              max_unexpected_bytes),
          "largest message");
    check(nng_socket_set_ms(
              push->handle, NNG_OPT_RECONNMINT,
              static_cast<nng_duration>(settings.reconnect_min.count())),
          "reconnect time");
    check(nng_socket_set_ms(
              push->handle, NNG_OPT_RECONNMAXT,
              static_cast<nng_duration>(settings.reconnect_max.count())),
          "reconnect time");
    // Returns at once; nng dials again by itself if the peer is not there.
    check(nng_dial(push->handle, url.c_str(), nullptr, NNG_FLAG_NONBLOCK), url);
    return push;
}

void nng_transport::state::receive_all()
{
    for (;;)
    {
        nng_recv_aio(pull.handle, receive.handle);
        nng_aio_wait(receive.handle);
        const int code = nng_aio_result(receive.handle);
        if (code == NNG_ECANCELED || code == NNG_ECLOSED)
            return;
        if (code != 0)
        {
            LOG4CPLUS_WARN(log, "receive failed: " << nng_strerror(code));
            // Keeps a lasting error from using up a core.
            nng_msleep(error_pause_ms);
            continue;
        }
        auto* const msg = nng_aio_get_msg(receive.handle);
        handle(msg);
        nng_msg_free(msg);
    }
}

void nng_transport::state::handle(nng_msg* msg)
{
    const std::string_view bytes(static_cast<const char*>(nng_msg_body(msg)),
                                 nng_msg_len(msg));
    ++counts.messages_received;
    counts.bytes_received += bytes.size();
    envelope message;
    try
    {
        message = decode_envelope(bytes, "message");
    }
    catch (const codec_error& ec)
    {
        ++counts.undecodable;
        LOG4CPLUS_WARN(log, "dropped " << bytes.size() << " bytes from "
                                       << source_of(msg) << ": " << ec.what());
        return;
    }
    try
    {
        handler(message);
    }
    catch (const std::exception& ec)
    {
        LOG4CPLUS_ERROR(log, "handling " << to_string(message.kind) << " from "
                                         << message.from.value
                                         << " failed: " << ec.what());
    }
}

nng_transport::nng_transport(const nng_settings& settings,
                             receive_handler handler)
    : self(std::make_unique<state>(settings, std::move(handler)))
{
    self->listen();
    self->receiver = std::thread([this] { self->receive_all(); });
}

nng_transport::~nng_transport()
{
    nng_aio_stop(self->receive.handle);
    self->receiver.join();
    self->peers.clear();
    nng_msleep(settle_ms);
    if (!close_within_bound(self->pull.handle))
        LOG4CPLUS_ERROR(self->log, "the socket that listens on port "
                                       << self->bound_port
                                       << " did not close in time");
    self->pull.handle = NNG_SOCKET_INITIALIZER;
}

bool nng_transport::send(const instance_id& to, message_kind kind,
                         const std::string& body)
{
    // Holding the socket keeps it open while another thread replaces it.
    std::shared_ptr<socket_owner> push;
    {
        const std::lock_guard lock(self->mutex);
        const auto it = self->peers.find(to);
        if (it != self->peers.end())
            push = it->second;
    }
    if (!push)
    {
        ++self->counts.dropped_unknown_peer;
        return false;
    }
    auto bytes = encode_envelope({self->settings.self, self->settings.life,
                                  ++self->sequence, kind, body});
    const int code =
        nng_send(push->handle, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
    if (code != 0)
    {
        ++self->counts.dropped_buffer_full;
        return false;
    }
    ++self->counts.messages_sent;
    self->counts.bytes_sent += bytes.size();
    return true;
}

void nng_transport::replace_peer(const instance_id& id,
                                 const peer_address& where)
{
    std::shared_ptr<socket_owner> push = self->dial(where);
    // The replaced socket closes after the lock is released.
    const std::lock_guard lock(self->mutex);
    std::swap(self->peers[id], push);
}

void nng_transport::remove_peer(const instance_id& id)
{
    std::shared_ptr<socket_owner> push;
    const std::lock_guard lock(self->mutex);
    const auto it = self->peers.find(id);
    if (it == self->peers.end())
        return;
    push = std::move(it->second);
    self->peers.erase(it);
}

std::uint16_t nng_transport::port() const
{
    return self->bound_port;
}

transport_counts nng_transport::counts() const
{
    const auto& counts = self->counts;
    return {counts.messages_sent,       counts.bytes_sent,
            counts.messages_received,   counts.bytes_received,
            counts.dropped_buffer_full, counts.dropped_unknown_peer,
            counts.undecodable};
}

} // namespace parsleyplank::peer
