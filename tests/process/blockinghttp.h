#pragma once

#include <map>
#include <string>

/** A whole answer, or what came of it. */
struct BlockingAnswer {
    /** 0 where no answer came. */
    int status = 0;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** The body has the length that the answer stated. */
    bool whole = false;
};

/** A request that a test sends. */
struct BlockingRequest {
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    int timeoutSeconds = 15;
};

/** Sends one request on a connection of its own to "ADDRESS:PORT" and waits for the answer. */
BlockingAnswer sendBlocking(const std::string &endpoint, const BlockingRequest &request);
