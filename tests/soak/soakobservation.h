#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/** Clock of all observations: all processes of a soak run on one machine. */
using SoakTime = std::chrono::steady_clock::time_point;

/** What one caller saw of one request. */
struct SoakRequest {
    /** Empty for a lookup. */
    std::string order;
    std::string key;
    /** Place of the node that it was sent to. */
    std::size_t seat = 0;
    /** 0 where no answer came. */
    int status = 0;
    /** The answer said that the request has not run. */
    bool saidNotRun = false;
    /** The whole answer came, and it is that of this request. */
    bool answeredRight = false;
    /** The connection ended before the whole answer. */
    bool cut = false;
    /** Some bytes of the answer had come. */
    bool begun = false;
};

/** One run of a request, as a target wrote it down when it began. */
struct SoakExecution {
    std::string target;
    SoakTime at;
    std::string key;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    /** Empty for a lookup. */
    std::string order;
};

/** Revision of the document that a run of a node told to have in force. */
struct SoakDocument {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
};

/** All that callers, targets and operators saw in one run. */
struct SoakObservations {
    std::vector<SoakRequest> requests;
    std::vector<SoakExecution> executions;
    /** In the order in which they were asked for. */
    std::vector<SoakDocument> documents;
    /** Seats that met planned stops and reloads alone. */
    std::vector<std::size_t> plannedOnly;
    /** Revision that was put last, and those that the nodes had at the end. */
    std::uint64_t lastDocument = 0;
    std::vector<std::uint64_t> documentsAtEnd;
    /** What else went wrong: a node that did not end after SIGTERM, or ended by itself. */
    std::vector<std::string> failures;
    /** Keys that were not served again within the time for it after the last fault. */
    std::vector<std::string> unservedKeys;
};
