// Stand-ins for a small deployment on loopback addresses: the platform's store, application instances, clients, and
// the project's daemons as processes.
//
// Each class is used by one thread, besides the threads that it starts itself, unless it says otherwise.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using Milliseconds = std::chrono::milliseconds;

// steadyMs() is the time since the program started.
std::int64_t steadyMs();
std::int64_t unixMs();
void pause(std::int64_t ms);

// Record writes what was sent, answered and run. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

struct Headers : std::vector<std::pair<std::string, std::string>> {
    using std::vector<std::pair<std::string, std::string>>::vector;
    std::string find(const std::string& name) const; // empty if it is missing
};

struct Message {
    std::string first; // request line or status line
    Headers headers;
    std::string body;
    int status() const;
    std::string method() const;
    std::string target() const;
};

// Wire reads and writes HTTP/1.1 messages on one socket, which it closes at its end.
class Wire {
public:
    explicit Wire(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Wire();
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;

    // read() reads one message; nothing if the connection ends or `timeoutMs` passes before it is whole.
    std::optional<Message> read(std::int64_t timeoutMs, bool isAnswer);
    bool write(const std::string& bytes);
    // hasPeerClosed() returns whether the other side has closed or reset the connection.
    bool hasPeerClosed() const;
    bool wasReset() const { return m_wasReset; }

private:
    bool fill(std::int64_t untilMs);

    int m_descriptor;
    std::string m_buffer;
    bool m_wasReset = false;
};

std::unique_ptr<Wire> connectTo(const std::string& address, std::int64_t timeoutMs);

// freePort() is a port of `ip` that nobody listens on.
int freePort(const std::string& ip);

// Server accepts connections and runs `serve` for each in a thread of its own.
class Server {
public:
    using Serve = std::function<void(Wire&)>;
    Server(const std::string& ip, int port, Serve serve);
    ~Server();
    std::string address() const { return m_address; }
    void stop();

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
    std::string m_address;
    std::thread m_thread;
};

// Store is the platform's store of rows. Thread-safe.
class Store {
public:
    Store(const std::string& ip, Record& record);
    ~Store();
    std::string address() const { return m_server->address(); }
    // putOperatorRow() writes op/KEY as the operator does and returns once it is stored.
    void putOperatorRow(const std::string& key, const nlohmann::json& value);
    // setAnswerTime() sets how long the store takes for an answer.
    void setAnswerTime(std::int64_t ms) { m_answerMs = ms; }
    // value() is the decoded value of a row; nothing if there is none.
    std::optional<std::string> value(const std::string& table, const std::string& key);
    std::size_t rowCount(const std::string& table);
    // row keys of a table
    std::vector<std::string> keys(const std::string& table);

private:
    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool isRemoved = false;
    };
    void serve(Wire& wire);
    std::pair<int, nlohmann::json> answer(const Message& request);
    nlohmann::json rowJson(const std::string& table, const std::string& key, const Row& row) const;

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 0;
    std::atomic<std::int64_t> m_answerMs { 4 };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<Server> m_server;
};

// Instance is an application instance: it serves requests at `address`, and tells the daemon beside it of itself.
// Thread-safe.
class Instance {
public:
    struct Options {
        std::string ip;
        int port = 0;
        std::string id;
        std::string service;
        std::string zone;
        std::string control; // address of the daemon beside it
        int slots = 5;
        std::int64_t workMs = 20;
        std::int64_t heartbeatMs = 1500;
        // What a faulty instance sends in place of its answer to a request; nothing for a sound answer. May be empty.
        std::function<std::optional<std::string>(const Message& request)> spoil;
    };
    struct Run {
        std::string request;
        std::string instance;
        std::int64_t beganMs = 0;
        std::int64_t endedMs = 0; // 0 while it is at work
        bool isCut = false; // the connection ended while it was at work
    };

    Instance(Options options, Record& record);
    ~Instance();
    const std::string& id() const { return m_options.id; }
    std::uint64_t born() const { return m_born; }
    // startHeartbeats() begins to report the instance to its daemon.
    void startHeartbeats();
    void stopHeartbeats();
    // call() sends a call to the daemon's control address and returns the status; 0 without an answer within a second.
    int callControl(const std::string& call, const std::string& body);
    std::string heartbeatBody(const std::string& state);
    // deregister() tells the daemon that the instance leaves, until it is acknowledged.
    bool deregister(int tries = 5);
    // stop() ends the instance with its connections.
    void stop();
    std::vector<Run> runs();

private:
    void serve(Wire& wire);

    Options m_options;
    Record& m_record;
    std::uint64_t m_born;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isBeating { false };
    std::atomic<bool> m_isStopped { false };
    std::thread m_beats;
    std::unique_ptr<Server> m_server;
};

// Daemon is one process of the deploy file's command, with its settings.
class Daemon {
public:
    struct Options {
        std::string program; // as the deploy file names it, from the root of the repository
        std::string directory; // temporary, for settings and logs
        std::string name;
        std::string ip;
        std::string zone;
        std::string region;
        std::map<std::string, std::string> zones;
        std::string service;
        std::string appAddress;
        std::string storeAddress;
    };
    explicit Daemon(const Options& options, Record& record);
    ~Daemon();
    void start(bool isBootstrap);
    void signal(int number);
    // waitForEnd() returns whether the process ended within `ms`.
    bool waitForEnd(std::int64_t ms);
    bool isRunning();
    bool isReady() const;
    std::string outbound() const { return address("outbound"); }
    std::string control() const { return address("control"); }
    const std::string& name() const { return m_options.name; }
    const std::string& ip() const { return m_options.ip; }

private:
    std::string address(const char* name) const { return m_ports.at(name); }

    Options m_options;
    Record& m_record;
    std::map<std::string, std::string> m_ports;
    int m_internalPort = 0;
    pid_t m_process = 0;
};

// Call is one client attempt on a connection of its own.
struct Call {
    std::string method = "GET";
    std::string host = "shop.example";
    std::string path = "/view/1";
    std::string id;
    std::string key;
    std::string body;
    std::int64_t deadlineMs = 5000;
};
struct Outcome {
    int status = 0; // 0: no complete answer
    std::string signature;
    std::string body;
    std::string retryAfter;
    std::int64_t sentMs = 0;
    std::int64_t endedMs = 0;
    std::string how; // "answered", "closed", "not connected", "timed out"
};
Outcome call(const std::string& outbound, const Call& call, Record& record);

// newId() is a new id of a request. Thread-safe.
std::string newId();

// makeDirectory() makes a temporary folder; removeDirectory() removes it with its files.
std::string makeDirectory();
void removeDirectory(const std::string& path);

// waitUntil() waits until `condition` holds; false if it doesn't within `ms`.
bool waitUntil(std::int64_t ms, const std::function<bool()>& condition);

// hasTrouble() is false for a run without the disruption (TROUBLE=0).
bool hasTrouble();
} // namespace standin
