// A small deployment on loopback addresses: the daemons as processes, the store and one instance beside each daemon.
#pragma once

#include "Instance.h"
#include "Record.h"
#include "Store.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// Host is one machine with its daemon.
class Host {
public:
    Host(std::string name, std::string ip, std::string folder, Record& record)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_folder(std::move(folder))
        , m_record(record)
    {
    }

    // startDaemon() starts the program with the command of the deploy file.
    auto startDaemon() -> void;
    auto signalDaemon(int signal) -> void;
    // wasReaped() notices the end of the daemon.
    [[nodiscard]] auto wasReaped() -> bool;
    // peakMegabytes() is the most memory that the daemon has held so far; 0 if it isn't running.
    [[nodiscard]] auto peakMegabytes() const -> long;
    [[nodiscard]] auto isReady() const -> bool;
    [[nodiscard]] auto name() const -> const std::string& { return m_name; }
    [[nodiscard]] auto address(int port) const -> std::string { return m_ip + ":" + std::to_string(port); }
    [[nodiscard]] auto callers() const -> std::string { return address(s_outbound); }
    [[nodiscard]] auto control() const -> std::string { return address(s_control); }
    [[nodiscard]] auto application() const -> std::string { return address(s_application); }

    auto writeSettings(const std::string& service, const std::string& storeAddress, bool isFirstStart) const -> void;

    static int s_basePort;
    static int s_outbound, s_inbound, s_ready, s_control, s_application, s_metrics;
    static constexpr int memoryMegabytes = 260;

private:
    std::string m_name;
    std::string m_ip;
    std::string m_folder;
    Record& m_record;
    std::atomic<int> m_process = 0;
};

struct ServicePlan {
    std::string name;
    std::size_t instances = 1;
    int workMs = 400;
};

class Fleet {
public:
    Fleet(Record& record, const std::vector<ServicePlan>& services, Instance::ChooseFate chooseFate,
        Instance::Started started);

    // start() brings everything up; false if that fails, so that the case can't run.
    [[nodiscard]] auto start() -> bool;
    auto stop() -> void;

    [[nodiscard]] auto host(std::size_t index) -> Host& { return *m_hosts[index]; }
    [[nodiscard]] auto size() const -> std::size_t { return m_hosts.size(); }
    [[nodiscard]] auto instance(std::size_t index) -> Instance& { return *m_instances[index]; }
    // putManifest() writes a version of the manifest, in which the tenants are `tenantRows`; the store's answer is its
    // acknowledgement.
    auto putManifest(int version, const std::string& tenantRows) -> void;
    [[nodiscard]] auto store() -> Store& { return *m_store; }

private:
    [[nodiscard]] auto choosePorts() -> bool;

    Record& m_record;
    std::vector<ServicePlan> m_services;
    Instance::ChooseFate m_chooseFate;
    Instance::Started m_started;
    std::string m_folder;
    std::string m_storeAddress;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::string> m_hostServices;
    std::vector<std::unique_ptr<Instance>> m_instances;
};

// Outcome is what a client got: a status, or 0 if the connection ended without a whole answer.
struct Outcome {
    int status = 0;
    std::string signature;
    std::string body;
};

// Client keeps one connection to a daemon and opens another one when that has ended.
class Client {
public:
    explicit Client(std::string address)
        : m_address(std::move(address))
    {
    }
    [[nodiscard]] auto send(const std::string& method, const std::string& path, const std::string& id,
        const std::string& body, const std::string& apiKey = key) -> Outcome;

    static constexpr int timeBudgetMs = 10000;
    static constexpr const char* key = "3fexd9dnn2ctnfzs989a";

private:
    std::string m_address;
    std::shared_ptr<Socket> m_socket;
};

// isTroubled() is false if the variable TROUBLE is 0.
[[nodiscard]] auto isTroubled() -> bool;

// finish() ends the program at once with `status`, without waiting for its threads.
[[noreturn]] auto finish(int status) -> void;

} // namespace review
