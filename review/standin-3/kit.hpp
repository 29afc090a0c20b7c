#ifndef PARSLEYPLANK_REVIEW_STANDIN_3_KIT_HPP
#define PARSLEYPLANK_REVIEW_STANDIN_3_KIT_HPP

// Stand-ins for the cases of the third review: the platform's store, backend
// servers, processes of parsleyplank-edge and callers, all on loopback
// addresses. One thread serves one connection.

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using json = nlohmann::json;
using milliseconds = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

struct address
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0;
};

std::string to_string(const address& where);

// Returns the first of `count` TCP ports in a row that are free at the address.
std::uint16_t find_free_ports(const std::string& ip, int count);

// A blocking TCP connection with the bytes read ahead.
class connection
{
public:
    explicit connection(int descriptor);
    explicit connection(const address& to);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool is_open() const;
    // Returns false if the connection has failed.
    bool send(std::string_view bytes) const;
    // Returns false at the end, after a failure or if nothing comes in time.
    bool read_more(milliseconds timeout);
    // Closes the sending side and the receiving side.
    void shut_down() const;
    // Closes with a reset instead of an orderly end.
    void reset();

    std::string rest;

private:
    int fd = -1;
};

// The names of header fields are in lower case.
using header_fields = std::multimap<std::string, std::string>;

std::string find_field(const header_fields& fields, const std::string& name);

struct request
{
    std::string method;
    std::string target;
    header_fields fields;
    std::string body;
};

struct response
{
    int status = 0;
    header_fields fields;
    std::string body;
};

std::optional<request> read_request(connection& from, milliseconds timeout);
// Reads a response to a request with this method.
std::optional<response> read_response(connection& from,
                                      const std::string& method,
                                      milliseconds timeout);

std::string format_response(int status, const std::string& lines,
                            const std::string& body);

// Accepts connections and serves each in a thread of its own until it is
// destroyed.
class listener
{
public:
    using handler = std::function<void(connection&)>;
    listener(const std::string& ip, handler serve_connection);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    const address& where() const;
    // From now on, connections are neither accepted nor refused, as those to a
    // machine without power.
    void fall_silent();

private:
    void accept_connections();

    handler serve;
    int fd = -1;
    address bound;
    std::atomic<bool> stopping = false;
    std::atomic<bool> silent = false;
    // Connections of its own that fill the queue.
    std::vector<int> fillers;
    std::mutex mutex;
    std::vector<std::weak_ptr<connection>> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

// The platform's store of PROTOCOL.md, without its limits on rates.
class platform_store
{
public:
    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    const address& where() const;
    // What the operator and the servers write.
    void put(const std::string& key, const json& value);
    void remove(const std::string& key);
    std::optional<std::string> value_of(const std::string& key);

private:
    struct item
    {
        std::string value;
        std::uint64_t changed = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event
    {
        std::string key;
        std::uint64_t at = 0;
        std::optional<item> written;
    };
    struct lease
    {
        milliseconds ttl{0};
        steady::time_point ends;
    };

    void serve(connection& peer);
    std::string answer(const request& call);
    std::string answer_get(const std::string& key);
    std::string answer_range(const std::string& prefix);
    std::string answer_watch(const std::string& prefix, std::uint64_t after,
                             milliseconds wait);
    std::string answer_txn(const json& body);
    std::string answer_lease(const std::string& path, const json& body);
    void write(const std::string& key, std::string value, std::uint64_t lease);
    void erase(const std::string& key);
    void end_due_leases();
    void run_leases();
    static json describe(const std::string& key, const item& it);

    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    std::uint64_t revision = 1;
    std::uint64_t last_lease = 0;
    std::map<std::string, item> items;
    std::vector<event> events;
    std::map<std::uint64_t, lease> leases;
    std::unique_ptr<listener> front;
    std::thread lease_thread;
};

// What a server of PROTOCOL.md says of itself.
struct server_entry
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    address where;
    int capacity = 8;
    std::int64_t born = 0;
    std::int64_t sequence = 1;
    std::string state = "ready";
    milliseconds warmup_left{0};
};

json to_json(const server_entry& entry);

// Returns a response to a request, or nothing if the connection is to close
// without one.
using server_handler =
    std::function<std::optional<std::string>(const request&, connection&)>;

// A server that registers in the store. Requests for another instance get 421.
class server
{
public:
    server(platform_store& store, server_entry described,
           server_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    // Ends the server as a crash does: its connections and its port close.
    void crash();
    // Loses power: neither answers nor accepts connections any more.
    void fall_silent();
    const server_entry& entry() const;

private:
    void serve(connection& peer);

    platform_store& registry;
    server_entry self;
    server_handler respond;
    std::atomic<bool> silent = false;
    std::unique_ptr<listener> front;
};

// The header lines that every response of a server has.
std::string seal_lines(const request& to);

struct edge_settings
{
    std::string id;
    std::string region;
    std::string zone;
    std::string ip;
    std::map<std::string, std::string> zones;
    int memory_mb = 260;
};

// A process of parsleyplank-edge.
class edge_process
{
public:
    // Starts the program of the environment variable EDGE.
    edge_process(const edge_settings& chosen, const address& store,
                 const std::string& dir);
    ~edge_process();
    edge_process(const edge_process&) = delete;
    edge_process& operator=(const edge_process&) = delete;

    void start();
    // Sends a signal.
    void signal(int number) const;
    // Kills the process and waits for its end.
    void kill_now();
    // Returns the exit status if the process has ended.
    std::optional<int> ended();
    pid_t pid() const;
    // Resident memory in bytes; 0 if the process has ended.
    std::size_t resident_bytes() const;
    bool wait_ready(milliseconds timeout) const;

    address callers;
    address readiness;
    address directory;

private:
    std::string settings_file;
    std::string log_file;
    // Ids of all processes that were started, for the script to end.
    std::string pid_file;
    pid_t child = -1;
};

// Appends lines with the time since its creation to a file.
class record
{
public:
    explicit record(const std::string& file);
    void line(const std::string& text);

private:
    std::mutex mutex;
    std::ofstream out;
    steady::time_point began = steady::now();
};

// Runs the task with each number below the count in a thread of its own.
std::vector<std::thread> start_threads(int count,
                                       const std::function<void(int)>& task);
void join(std::vector<std::thread>& threads);

// Returns whether the disruption takes place: TROUBLE is not 0.
bool has_trouble();

// A configuration with one tenant, whose key is "key-1".
struct route
{
    std::string name;
    std::string host;
    std::string prefix;
    std::string type;
    std::string service;
    std::string timeout = "4000ms";
};

json make_configuration(const std::string& version,
                        const std::vector<route>& routes);

// The lines of a request after the first one, for a caller with key "key-1".
std::string caller_lines(const std::string& host, const std::string& id,
                         int deadline_ms);

} // namespace review

#endif
