#pragma once

#include "testcluster.h"

#include <string>

/** Shards of the document that DeskCluster puts. */
constexpr std::size_t deskShards = 32;

/** An advice-desk of some nodes, divided by key, that serves every shard when it is made. */
class DeskCluster
{
public:
    explicit DeskCluster(std::size_t seats, bool checkFence = true);

    TestCluster &cluster() { return m_cluster; }
    /** Document text with further lines at its end. */
    std::string document(const std::string &more = {}) const;
    /** Seat whose node is the coordinator; null where none says so. */
    TestSeat *coordinator();
    /** A live seat that is not the one given. */
    TestSeat &otherThan(const TestSeat &seat);
    /** Sends an order for the key; the target counts its runs by the name. */
    BlockingAnswer order(const TestSeat &entry, const std::string &key, const std::string &name, const std::string &path = "/orders");
    /** Runs of the order, summed over the targets that answer. */
    int runsOf(const std::string &name);
    /** Repeats a GET until it is answered 200 by a target other than the one named. */
    bool waitUntilServedByOther(const TestSeat &entry, const std::string &key, const std::string &target);

private:
    bool m_checkFence;
    TestCluster m_cluster;
};
