// A small deployment of one zone: a store, and hosts of a daemon and an instance each.
#pragma once

#include "Fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace standin {

struct Host {
    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<Instance> instance;
    std::string service;
    std::string appAddress;
    int appPort = 0;
};

class Deployment {
public:
    // `ipPrefix` is the first three numbers of the hosts' loopback addresses.
    Deployment(const std::string& root, Record& record, const std::string& ipPrefix = "127.0.71.");
    ~Deployment();

    // addHost() prepares a host; startInstance() starts the next instance on it, without heartbeats.
    void addHost(const std::string& service);
    Instance& startInstance(std::size_t host, std::int64_t workMs, int slots = 5);
    // startAll() starts every daemon and instance for the first time and waits until all are ready and have rows.
    bool startAll(std::int64_t workMs, int slots = 5);
    void configure(const nlohmann::json& configuration) { store.putOperatorRow("config", configuration); }
    bool waitUntilReady(std::int64_t ms);

    static constexpr const char* zone = "rajkot-a";
    static constexpr const char* region = "saurashtra";

    Record& record;
    std::string directory;
    Store store;
    std::vector<Host> hosts;
    // What faulty instances send, for those that are started from then on; see Instance::Options.
    std::function<std::optional<std::string>(const Message& request)> spoil;

private:
    std::string m_root;
    std::string m_ipPrefix;
    int m_instances = 0;
};

// RouteOptions describe one route of a manifest.
struct RouteOptions {
    std::string name;
    std::string prefix;
    std::string kind = "idempotent";
    std::string timeout = "5000ms";
    std::string targetLatency = "1500ms";
    std::string service = "ledger";
    int maximumAttempts = 2;
    bool isPublic = false;
};

// makeManifest() is a manifest of the host shop.example; `tenants` are its rows [name, keys, priority, rate, burst].
nlohmann::json makeManifest(int version, const std::vector<RouteOptions>& routes, const nlohmann::json& tenants,
    const std::vector<std::string>& services);

} // namespace standin
