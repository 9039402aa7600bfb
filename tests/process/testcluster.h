#pragma once

#include "blockinghttp.h"
#include "childprocess.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/** One node with the target beside it. */
struct TestSeat {
    std::string name;
    std::string zone;
    std::unique_ptr<ChildProcess> node;
    std::unique_ptr<ChildProcess> target;
    std::string callers;
    std::string operations;
    std::string announce;
    std::string targetEndpoint;
    /** Where the node finds the platform, and the target the node; empty: at their own addresses. */
    std::string platformVia;
    std::string announceVia;
};

/**
 * The stand-in platform and some nodes with stand-in targets, as processes on
 * loopback with ports of the system's choice. All are ended with the object.
 */
class TestCluster
{
public:
    explicit TestCluster(const std::string &service);
    ~TestCluster();

    /** Writes the document as the next revision, by nutmeghingectl; its exit code. */
    int putDocument(const std::string &text);
    /** Starts a node and its target; they are not waited for. */
    TestSeat &addSeat(const std::string &name, const std::string &zone, const std::vector<std::string> &targetOptions = {});
    /** A seat with nothing started. */
    TestSeat &addEmptySeat(const std::string &name, const std::string &zone);
    /** The logs of all processes stay when the object ends. */
    void keepFolder() { m_keepFolder = true; }
    void startNode(TestSeat &seat);
    void startTarget(TestSeat &seat, const std::vector<std::string> &options = {});

    TestSeat &seat(std::size_t index) { return *m_seats[index]; }
    std::size_t size() const { return m_seats.size(); }
    nlohmann::json status(const TestSeat &seat) const;
    /** Sends to a node's caller listener with the service's host and the key. */
    BlockingAnswer request(const TestSeat &seat, const std::string &key, BlockingRequest request = {}) const;
    /** Changes the faults of a stand-in. */
    static void control(const std::string &endpoint, const nlohmann::json &faults);
    const std::string &platform() const { return m_platformEndpoint; }
    const std::string &folder() const { return m_folder; }

    /** Waits until the condition holds; false after a time that no healthy run needs. */
    static bool waitUntil(const std::function<bool()> &condition);
    /** Waits until every shard is served by one of the live nodes. */
    bool waitUntilServed(std::size_t shards) const;
    /** Seat whose node serves the shard's key now, by asking for it; null where none answers. */
    TestSeat *ownerOf(const std::string &key);

private:
    std::string m_service;
    std::string m_folder;
    bool m_keepFolder = false;
    std::unique_ptr<ChildProcess> m_platform;
    std::string m_platformEndpoint;
    std::vector<std::unique_ptr<TestSeat>> m_seats;
    int m_starts = 0;
};
