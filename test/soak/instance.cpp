#include "instance.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace soak
{

namespace
{

constexpr milliseconds path_delay{20};
// Ports of one instance: the reservation, callers, readiness, directory, admin,
// peers and tokens.
constexpr std::uint16_t block_size = 8;
constexpr std::uint16_t callers_offset = 1;
constexpr std::uint16_t readiness_offset = 2;
constexpr std::uint16_t directory_offset = 3;
constexpr std::uint16_t admin_offset = 4;
constexpr std::uint16_t peer_offset = 5;

// Returns a descriptor that is bound to the port, or -1 if another one is.
int bind_port(std::uint16_t port, int type)
{
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        return fd;
    ::close(fd);
    return -1;
}

bool is_free(std::uint16_t port)
{
    const int stream = bind_port(port, SOCK_STREAM);
    const int datagrams = bind_port(port, SOCK_DGRAM);
    ::close(stream);
    ::close(datagrams);
    return stream >= 0 && datagrams >= 0;
}

// Reserves a block of ports and returns the descriptor that holds its first
// one. The ports lie below those that the system gives to outgoing connections
// and apart from those of the review's stand-ins.
int reserve_ports()
{
    constexpr int first = 10'000;
    constexpr int blocks = 1'200;
    static std::atomic<int> next{::getpid()};
    for (int n = 0; n < blocks; ++n)
    {
        const auto port =
            static_cast<std::uint16_t>(first + next++ % blocks * block_size);
        const int held = bind_port(port, SOCK_STREAM);
        if (held < 0)
            continue;
        std::uint16_t free = 1;
        while (free < block_size && is_free(port + free))
            ++free;
        if (free == block_size)
            return held;
        ::close(held);
    }
    throw std::runtime_error("no free ports");
}

std::uint16_t port_of(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

} // namespace

instance::instance(instance_settings settings, review::record& to)
    : chosen(std::move(settings)), log(to), reservation(reserve_ports()),
      first_port(port_of(reservation))
{
    write_settings("info");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto output = log_file();
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // The sockets of the stand-ins are not the process's.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const char* path = std::getenv("EDGE");
    std::string program = path == nullptr ? "" : path;
    auto argument = chosen.folder + "/" + chosen.id + ".toml";
    std::array<char*, 3> words{program.data(), argument.data(), nullptr};
    if (::posix_spawn(&pid, program.c_str(), &actions, nullptr, words.data(),
                      environ) != 0)
        throw std::runtime_error("can't start '" + program + "'");
    posix_spawn_file_actions_destroy(&actions);
    log.add(chosen.id + " started as process " + std::to_string(pid));
    const std::uint16_t port = first_port + callers_offset;
    delayed = std::make_unique<relay>(port, path_delay, false);
    lossy = std::make_unique<relay>(port, path_delay, true);
}

instance::~instance()
{
    if (!has_ended())
    {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    ::close(reservation);
}

void instance::write_settings(const std::string& level) const
{
    const auto at = [&](std::uint16_t offset)
    {
        return "\"127.0.0.1:" + std::to_string(first_port + offset) + "\"\n";
    };
    const auto file = chosen.folder + "/" + chosen.id + ".toml";
    std::ofstream out(file + ".new");
    out << "[instance]\nid = \"" << chosen.id
        << "\"\nregion = \"oslo\"\nfailure_domain = \"oslo-a\"\n"
        << "address = \"127.0.0.1\"\nmemory_mb = " << chosen.memory_mb
        << "\nmax_descriptors = " << chosen.max_descriptors
        << "\nlink_mbps = 1000.0\n[listen]\n"
        << "callers = " << at(callers_offset)
        << "readiness = " << at(readiness_offset)
        << "directory = " << at(directory_offset)
        << "admin = " << at(admin_offset)
        << "peer_port = " << first_port + peer_offset
        << "\n[store]\naddress = \"" << chosen.store
        << "\"\n[failure_domains]\n\"oslo-a\" = \"oslo\"\n[bounds]\n"
        << "contact = \"4000ms\"\ndrain = \"2500ms\"\ngrace = \""
        << chosen.grace.count() << "ms\"\ndirectory_ttl = \"5s\"\n"
        << "retry_ratio = 0.2\nretry_slack = 60\nshift_cap = 0.15\n"
        << "revoke = \"5000ms\"\nstrict_keys = false\n[logging]\nlevel = \""
        << level << "\"\n";
    out.close();
    if (::rename((file + ".new").c_str(), file.c_str()) != 0)
        throw std::runtime_error("can't write " + file);
}

bool instance::is_ready() const
{
    const auto answer = review::call(first_port + readiness_offset, "/readyz");
    return answer && answer->result_int() == 200;
}

bool instance::wait_ready(milliseconds limit) const
{
    const auto until = clock::now() + limit;
    while (!is_ready())
    {
        if (clock::now() > until)
            return false;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return true;
}

void instance::send_signal(int number)
{
    const std::lock_guard lock(mutex);
    if (ended)
        return;
    log.add(chosen.id + " gets signal " + std::to_string(number));
    ::kill(pid, number);
}

void instance::rewrite_settings()
{
    write_settings("debug");
}

bool instance::has_ended()
{
    const std::lock_guard lock(mutex);
    int status = 0;
    if (ended || ::waitpid(pid, &status, WNOHANG) != pid)
        return ended;
    ended = true;
    ended_at = clock::now();
    if (killed || (WIFEXITED(status) && WEXITSTATUS(status) == 0))
        return true;
    std::ifstream in(log_file());
    const std::string text(std::istreambuf_iterator<char>(in), {});
    // The default action of SIGTERM applies until the program handles it.
    if (!WIFSIGNALED(status) || WTERMSIG(status) != SIGTERM ||
        text.find("event=start ") != std::string::npos)
        faults.push_back("ended with wait status " + std::to_string(status));
    return true;
}

void instance::stop(std::mt19937 rng)
{
    constexpr milliseconds never{60'000};
    constexpr milliseconds ready_limit{4'000};
    const auto maybe = [&](unsigned range)
    {
        return rng() % 3 == 0 ? milliseconds(rng() % range) : never;
    };
    const auto hup_before = maybe(1'000);
    auto again = maybe(4'000);
    auto hup = maybe(3'000);
    const bool rewrite = rng() % 2 == 0;
    const auto reload = [&]
    {
        if (rewrite)
            rewrite_settings();
        send_signal(SIGHUP);
    };
    if (hup_before != never)
    {
        reload();
        std::this_thread::sleep_for(hup_before);
    }
    const auto start = clock::now();
    stopped_at = start;
    send_signal(SIGTERM);
    bool checked = false;
    while (!has_ended())
    {
        const auto age = clock::now() - start;
        if (age >= again)
            send_signal(SIGTERM);
        if (age >= hup)
            reload();
        again = age >= again ? never : again;
        hup = age >= hup ? never : hup;
        if (age >= ready_limit && !checked && is_ready() && is_ready())
            faults.push_back("ready 4 s after SIGTERM");
        checked = age >= ready_limit;
        if (age >= chosen.grace && !killed)
        {
            faults.push_back("killed after the grace time");
            killed = true;
            send_signal(SIGKILL);
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    log.add(chosen.id + " ended " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(ended_at - start)
                    .count()) +
            " ms after SIGTERM");
}

void instance::kill()
{
    const auto start = clock::now();
    stopped_at = start;
    killed = true;
    send_signal(SIGKILL);
    while (!has_ended())
        std::this_thread::sleep_for(milliseconds(1));
    impairments.push_back({start, ended_at});
}

void instance::freeze(milliseconds time)
{
    const auto start = clock::now();
    send_signal(SIGSTOP);
    std::this_thread::sleep_for(time);
    send_signal(SIGCONT);
    impairments.push_back({start, clock::now()});
}

std::uint16_t instance::callers_port(path_kind path) const
{
    switch (path)
    {
    case path_kind::delayed:
        return delayed->port();
    case path_kind::lossy:
        return lossy->port();
    case path_kind::direct:
        break;
    }
    return first_port + callers_offset;
}

std::uint16_t instance::directory_port() const
{
    return first_port + directory_offset;
}

std::uint16_t instance::readiness_port() const
{
    return first_port + readiness_offset;
}

std::uint16_t instance::admin_port() const
{
    return first_port + admin_offset;
}

std::uint16_t instance::peer_port() const
{
    return first_port + peer_offset;
}

bool instance::has_refused(std::uint16_t caller_port) const
{
    return delayed->has_refused(caller_port) || lossy->has_refused(caller_port);
}

std::string instance::log_file() const
{
    return chosen.folder + "/" + chosen.id + ".log";
}

} // namespace soak
