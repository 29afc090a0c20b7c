#include "instance.hpp"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <set>
#include <stdexcept>
#include <thread>

namespace review2
{

namespace
{

// The program of the deploy file; a case runs in the root of the repository.
constexpr const char* program = "target/bin/parsleyplank-edge";
constexpr milliseconds poll_interval{20};

std::string local(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

// Returns a port that this program has not used for another purpose.
std::uint16_t find_unused_ports()
{
    static std::set<int> used;
    while (true)
    {
        const auto port = find_free_ports();
        if (used.contains(port) || used.contains(port + 1))
            continue;
        used.insert({port, port + 1});
        return port;
    }
}

void limit_descriptors(rlim_t most)
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(most, limit.rlim_max);
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

instance::instance(std::string chosen, const std::string& zone,
                   const platform_store& store, const std::string& where,
                   record& written, const machine& on)
    : id(std::move(chosen)), folder(where),
      descriptors(static_cast<rlim_t>(on.descriptors)), log(written),
      callers(find_unused_ports()), readiness(find_unused_ports())
{
    std::ofstream out(folder + "/" + id + ".toml");
    out << "[instance]\nid = \"" << id << "\"\nregion = \"oslo\"\n"
        << "failure_domain = \"" << zone << "\"\naddress = \"127.0.0.1\"\n"
        << "memory_mb = " << on.memory_mb
        << "\nmax_descriptors = " << on.descriptors
        << "\nlink_mbps = 1000.0\n\n[listen]\ncallers = " << local(callers)
        << "readiness = " << local(readiness)
        << "directory = " << local(find_unused_ports())
        << "admin = " << local(find_unused_ports())
        << "peer_port = " << find_unused_ports()
        << "\n\n[store]\naddress = " << local(store.port()) << R"(
[failure_domains]
"oslo-a" = "oslo"
"bergen-a" = "bergen"
"trondheim-a" = "trondheim"
"oslo-b" = "oslo"
"bergen-b" = "bergen"
"trondheim-b" = "trondheim"

[bounds]
directory_ttl = "5s"
retry_ratio = 0.2
shift_cap = 0.15
revoke = "5000ms"
)"
        << "contact = \"" << on.contact << "\"\ndrain = \"" << on.drain
        << "\"\ngrace = \"" << on.grace
        << "\"\nretry_slack = " << on.retry_slack << "\n";
}

instance::~instance()
{
    if (pid > 0)
        end(SIGKILL);
}

void instance::start()
{
    const auto settings = folder + "/" + id + ".toml";
    const auto output = folder + "/" + id + ".log";
    pid = ::fork();
    if (pid < 0)
        throw std::runtime_error("can't start a process");
    if (pid == 0)
    {
        limit_descriptors(descriptors);
        constexpr int mode = 0644;
        const int fd =
            ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        // The sockets of this program are not inherited.
        ::closefrom(STDERR_FILENO + 1);
        ::execl(program, program, settings.c_str(), nullptr);
        ::_exit(not_run);
    }
    log.add("start of " + id);
}

void instance::end(int signal)
{
    if (pid <= 0)
        return;
    ::kill(pid, signal);
    int status = 0;
    ::waitpid(pid, &status, 0);
    log.add("end of " + id + " after signal " + std::to_string(signal));
    pid = -1;
}

void instance::send(int signal) const
{
    ::kill(pid, signal);
    log.add("signal " + std::to_string(signal) + " to " + id);
}

bool instance::has_ended()
{
    if (pid > 0 && ::waitpid(pid, nullptr, WNOHANG) == pid)
    {
        log.add("end of " + id);
        pid = -1;
    }
    return pid < 0;
}

bool instance::wait_ready(milliseconds limit) const
{
    const auto until = clock::now() + limit;
    while (clock::now() < until)
    {
        auto asking = connect_to(readiness);
        asking.set_receive_timeout(limit);
        if (asking.fd() >= 0 &&
            asking.send_all("GET /readyz HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"))
        {
            const auto told = read_response(asking, "GET");
            if (told && told->start_line.starts_with("HTTP/1.1 200"))
                return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

const std::string& instance::name() const
{
    return id;
}

pid_t instance::process() const
{
    return pid;
}

std::uint16_t instance::callers_port() const
{
    return callers;
}

temporary_folder::temporary_folder()
{
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    name = pattern;
}

temporary_folder::~temporary_folder()
{
    std::error_code ec;
    std::filesystem::remove_all(name, ec);
}

const std::string& temporary_folder::path() const
{
    return name;
}

} // namespace review2
