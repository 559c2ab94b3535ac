// A small deployment for one review case: the platform's store, instances and clients as threads of this process, and
// the daemons as child processes started with the command of the deploy file. Every address is a loopback address.
//
//   Record record("review/6/record.txt");
//   Fleet fleet(record);
//   auto& host = fleet.addHost("ledger");
//   fleet.putManifest(manifest);
//   fleet.startDaemon(host);
//   const auto response = fleet.send(host, { .path = "/book/1", .method = "POST" });
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

// Record writes one line an event to record.txt, with the milliseconds since its construction.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    auto add(const std::string& text) -> void;

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    Clock::time_point m_start = Clock::now();
};

struct Message {
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] auto header(const std::string& name) const -> std::string;
    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto target() const -> std::string;
    [[nodiscard]] auto status() const -> int;
};

// Connection is a blocking TCP connection that reads and writes whole HTTP messages.
class Connection {
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
    }
    ~Connection();
    Connection(const Connection&) = delete;
    auto operator=(const Connection&) -> Connection& = delete;

    [[nodiscard]] static auto open(const std::string& address) -> std::unique_ptr<Connection>;
    [[nodiscard]] auto write(const std::string& bytes) -> bool;
    // read() returns nothing at the end of the connection, after `timeout` or for bytes that are no whole message.
    [[nodiscard]] auto read(Milliseconds timeout) -> std::optional<Message>;
    // isClosedWithin() waits for the other side to close.
    [[nodiscard]] auto isClosedWithin(Milliseconds time) -> bool;
    auto reset() -> void;

private:
    int m_socket;
    std::string m_buffer;
};

// Server accepts connections at an address and handles each one in a thread of its own.
class Server {
public:
    using Handler = std::function<void(Connection&)>;
    Server(const std::string& address, Handler handler);
    ~Server();

private:
    int m_listener;
    Handler m_handler;
    std::thread m_thread;
};

// Store is the platform's metadata store: rows with a version from one counter, read in full or followed.
class Store {
public:
    explicit Store(const std::string& address);

    auto put(const std::string& table, const std::string& key, const std::string& value) -> void;
    [[nodiscard]] auto value(const std::string& table, const std::string& key) -> std::string;
    // setDown() answers every call with 503 until it is called again.
    auto setDown(bool isDown) -> void;
    // setSilent() answers no call that comes until it is called again, and none that waits.
    auto setSilent(bool isSilent) -> void;
    // silenceOpenConnections() makes the connections that are open now silent for good; new ones work.
    auto silenceOpenConnections() -> void;
    // restoreCopyFrom() brings back the content as of `time`; versions go back, and the era rises.
    auto restoreCopyFrom(Clock::time_point time) -> void;

private:
    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    using Tables = std::map<std::string, std::map<std::string, Row>>;
    struct Copy {
        Clock::time_point replacedAt;
        Tables tables;
        std::uint64_t version = 0;
    };

    auto serve(Connection& connection) -> void;
    auto handle(const Message& request) -> std::string;
    auto respond(int status, json body) const -> std::string;
    auto rowsAfter(const std::string& table, std::uint64_t version, bool includeRemoved) -> json;
    auto readRows(const std::string& target) -> std::string;
    auto follow(const std::string& target, std::unique_lock<std::mutex>& lock) -> std::string;
    auto transact(const json& body) -> std::string;
    auto keepCopy() -> void;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Tables m_tables;
    std::vector<Copy> m_copies;
    std::uint64_t m_version = 0;
    std::uint64_t m_era = 0;
    std::uint64_t m_restores = 0;
    std::uint64_t m_silences = 0;
    bool m_isSilent = false;
    bool m_isDown = false;
    Server m_server;
};

// Arrival is a request that an instance began to run.
struct Arrival {
    std::string id;
    std::string target;
    std::string instance;
    Clock::time_point at;
};

struct Host;

// Instance is the application instance of one host.
class Instance {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string address;
        std::string zone;
        std::string controlAddress;
        std::int64_t born = 0; // Unix milliseconds by its machine's time of day
        std::size_t slots = 5;
        Milliseconds serviceTime { 50 };
        Milliseconds heartbeat { 1500 };
    };

    Instance(Options options, Record& record);
    ~Instance(); // a crash: connections are reset, nothing is said

    // say() sends one heartbeat with `state` and returns the status of the answer, 0 for none within a second.
    auto say(const std::string& state) -> int;
    auto deregister() -> int;
    // leave() says `draining` until it is acknowledged, and returns whether it was.
    auto leave() -> bool;

    [[nodiscard]] auto arrivals() const -> std::vector<Arrival>;
    [[nodiscard]] auto options() const -> const Options& { return m_options; }

private:
    auto serve(Connection& connection) -> void;
    auto heartbeats() -> void;
    auto call(const std::string& name, const json& body) -> int;

    Options m_options;
    Record& m_record;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Arrival> m_arrivals;
    std::vector<Connection*> m_connections;
    std::string m_state = "ready";
    std::uint64_t m_sequence = 0;
    bool m_isEnding = false;
    std::atomic<int> m_running { 0 };
    std::unique_ptr<Server> m_server;
    std::thread m_heartbeatThread;
};

struct Host {
    std::string ip;
    std::string service;
    std::string settingsPath;
    std::string logPath;
    pid_t daemon = 0;
    std::unique_ptr<Instance> instance;

    [[nodiscard]] auto callers() const -> std::string { return ip + ":8365"; }
    [[nodiscard]] auto peers() const -> std::string { return ip + ":8366"; }
    [[nodiscard]] auto control() const -> std::string { return ip + ":8367"; }
    [[nodiscard]] auto readiness() const -> std::string { return ip + ":8369"; }
    [[nodiscard]] auto application() const -> std::string { return ip + ":8363"; }
};

// Request is what a client sends.
struct Request {
    std::string path = "/read/1";
    std::string method = "GET";
    std::string key = "key-one";
    std::string body;
    int deadlineMs = 8000;
};

struct Response {
    std::string id;
    int status = 0; // 0: no whole answer
    Message message;
    Clock::time_point sentAt;
};

class Fleet {
public:
    explicit Fleet(Record& record);
    ~Fleet(); // kills the daemons

    // stop() kills the daemons, and finish() ends the process as well.
    auto stop() -> void { killDaemons(); }
    [[noreturn]] auto finish(int status) -> void;

    auto addHost(const std::string& service) -> Host&;
    auto startDaemon(Host& host) -> void;
    auto kill(Host& host, int signal) -> void;
    auto waitForExit(Host& host) -> void;
    // startInstance() starts the instance of a host; `born` 0 stands for the present time.
    auto startInstance(Host& host, const std::string& id, std::int64_t born = 0) -> Instance&;
    [[nodiscard]] auto isReady(const Host& host) -> bool;
    [[nodiscard]] auto waitUntilReady(Milliseconds limit) -> bool;
    [[nodiscard]] auto send(const Host& host, const Request& request) -> Response;
    [[nodiscard]] auto nextId() -> std::string;

    // manifest() has an idempotent route /read/ and a once-only route /book/ to "ledger", for one tenant without limit.
    [[nodiscard]] static auto manifest(std::uint64_t version) -> json;
    auto putManifest(const json& manifest) -> void { store().put("op", "config", manifest.dump()); }

    [[nodiscard]] auto store() -> Store& { return *m_store; }
    [[nodiscard]] auto record() -> Record& { return m_record; }
    [[nodiscard]] auto host(std::size_t index) -> Host& { return *m_hosts[index]; }
    [[nodiscard]] auto hostCount() const -> std::size_t { return m_hosts.size(); }
    Milliseconds serviceTime { 50 };

private:
    auto killDaemons() -> void;

    Record& m_record;
    std::string m_temporaryFolder;
    std::string m_network; // the first three bytes of the hosts' addresses
    std::string m_storeAddress;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::atomic<std::uint64_t> m_nextId { 1 };
};

[[nodiscard]] auto isTroubled() -> bool; // false with TROUBLE=0
[[nodiscard]] auto unixMilliseconds() -> std::int64_t;
auto sleepFor(Milliseconds time) -> void;
auto sleepUntil(Clock::time_point time) -> void;

// Exit statuses of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

} // namespace review
