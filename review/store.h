#pragma once

#include "wire.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace review {

/** Stand-in for the platform's store: tables of rows with conditional transactions, and a feed of changes that waits. */
class Store
{
public:
    /** Listens at the address. Returns false if it is taken. */
    bool start(const Address &address);
    /** Writes a row as the operator does. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    /** Number of calls that were answered. */
    std::uint64_t calls() const { return m_calls; }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool removed = false;
    };
    /** Table, part and key. */
    using Key = std::tuple<std::string, std::string, std::string>;

    void serve(Connection connection);
    Message answer(const Message &request);
    Message transact(const std::string &body);
    Message rows(const std::map<std::string, std::string> &query);
    Message feed(const std::map<std::string, std::string> &query);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    /** Rows, including those that were removed. */
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_calls = 0;
    Clock::time_point m_startedAt = Clock::now();
};

std::string toBase64(const std::string &bytes);

} // namespace review
