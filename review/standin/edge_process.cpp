#include "edge_process.hpp"

#include "http_server.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <stdexcept>

namespace review
{

namespace
{

bool is_free(std::uint16_t port)
{
    asio::io_context io;
    boost::system::error_code ec;
    const auto address = asio::ip::make_address("127.0.0.1");
    tcp::acceptor stream(io);
    stream.open(tcp::v4(), ec);
    stream.bind({address, port}, ec);
    asio::ip::udp::socket datagrams(io);
    datagrams.open(asio::ip::udp::v4());
    boost::system::error_code ec_udp;
    datagrams.bind({address, port}, ec_udp);
    return !ec && !ec_udp;
}

// Returns the first of as many consecutive free ports. Below the range from
// which the system takes the ports of outgoing connections.
std::uint16_t find_ports(std::uint16_t count)
{
    static std::uint16_t next = 20'000 + ::getpid() % 8'000;
    std::uint16_t found = 0;
    while (found < count)
    {
        found = is_free(next) ? found + 1 : 0;
        ++next;
    }
    return next - count;
}

std::string at(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

std::string edge_program()
{
    const char* path = std::getenv("EDGE");
    return path == nullptr ? "target/bin/parsleyplank-edge" : path;
}

edge_process::edge_process(const edge_settings& settings, record& to)
    : id(settings.id), log(to)
{
    constexpr std::uint16_t port_count = 6;
    callers = find_ports(port_count);
    readiness = callers + 1;
    directory = callers + 2;
    const auto file = settings.folder + "/" + id + ".toml";
    std::ofstream out(file);
    out << "[instance]\nid = \"" << id << "\"\nregion = \"" << settings.region
        << "\"\nfailure_domain = \"" << settings.zone
        << "\"\naddress = \"127.0.0.1\"\nmemory_mb = 260\n"
        << "max_descriptors = 4100\nlink_mbps = 1000.0\n[listen]\ncallers = "
        << at(callers) << "readiness = " << at(readiness)
        << "directory = " << at(directory) << "admin = " << at(callers + 3)
        << "peer_port = " << callers + 4 << "\n[store]\naddress = \""
        << settings.store << "\"\n[failure_domains]\n"
        << settings.zones
        << "[bounds]\ncontact = \"4000ms\"\ndrain = \"2500ms\"\n"
           "grace = \"6s\"\ndirectory_ttl = \"5s\"\nretry_ratio = 0.2\n"
           "retry_slack = 60\nshift_cap = 0.15\nrevoke = \"5000ms\"\n"
           "strict_keys = false\n";
    out.close();
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const auto output = settings.folder + "/" + id + ".log";
    posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, 0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    auto program = edge_program();
    auto argument = file;
    std::array<char*, 3> words{program.data(), argument.data(), nullptr};
    if (::posix_spawn(&pid, program.c_str(), &actions, nullptr, words.data(),
                      environ) != 0)
        throw std::runtime_error("can't start " + program);
    posix_spawn_file_actions_destroy(&actions);
    log.add(id + " started as process " + std::to_string(pid));
}

edge_process::~edge_process()
{
    if (has_ended())
        return;
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    log.add(id + " killed at the end of the case");
}

bool edge_process::wait_ready(milliseconds limit) const
{
    const auto until = clock::now() + limit;
    while (clock::now() < until)
    {
        const auto answer = call(readiness, "/readyz");
        if (answer && answer->result_int() == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

bool edge_process::has_ended()
{
    int status = 0;
    if (!ended && ::waitpid(pid, &status, WNOHANG) == pid)
    {
        ended = true;
        log.add(id + " ended with " +
                (WIFEXITED(status)
                     ? "status " + std::to_string(WEXITSTATUS(status))
                     : "signal " + std::to_string(WTERMSIG(status))));
    }
    return ended;
}

void edge_process::freeze(milliseconds time)
{
    log.add("SIGSTOP to " + id);
    ::kill(pid, SIGSTOP);
    std::this_thread::sleep_for(time);
    ::kill(pid, SIGCONT);
    log.add("SIGCONT to " + id);
}

void edge_process::stop(milliseconds grace)
{
    log.add("SIGTERM to " + id);
    ::kill(pid, SIGTERM);
    const auto until = clock::now() + grace;
    while (!has_ended())
    {
        if (clock::now() >= until)
        {
            log.add("SIGKILL to " + id);
            ::kill(pid, SIGKILL);
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

} // namespace review
