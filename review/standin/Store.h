// A stand-in of the platform's metadata store: tables, conditional transactions and the feed of changes.
#pragma once

#include "Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace review {

class Store {
public:
    explicit Store(const std::string& address);

    // put() writes a row as the operator does.
    auto put(const std::string& table, const std::string& key, const std::string& value) -> void;
    // rows() counts the rows of a table.
    [[nodiscard]] auto rows(const std::string& table) -> std::size_t;

private:
    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    auto serve(const std::shared_ptr<Socket>& socket) -> void;
    auto transact(const Message& request) -> std::string;
    auto read(const std::string& target) -> std::string;
    auto feed(const std::string& target) -> std::string;
    [[nodiscard]] auto envelope(const std::string& rows, bool hasMore) const -> std::string;
    [[nodiscard]] static auto describe(const std::string& table, const std::string& key, const Row& row) -> std::string;

    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::uint64_t m_version = 0;
};

} // namespace review
