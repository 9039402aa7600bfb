#pragma once

#include <map>
#include <string>

/** An HTTP answer, which may be incomplete. */
struct BlockingAnswer {
    /** 0 if no answer was received. */
    int status = 0;
    /** Headers by name; names are in lower case. */
    std::map<std::string, std::string> headers;
    std::string body;
    /** Whether the body was received in full. */
    bool whole = false;
    /** Whether any bytes of an answer were received; set by KeepAliveConnection only. */
    bool begun = false;
};

/** An HTTP request that a test sends. */
struct BlockingRequest {
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    int timeoutSeconds = 15;
};

/** Returns a socket connected to "ADDRESS:PORT", or -1. Its receive calls time out after timeoutSeconds, or never if that is 0. */
int connectTo(const std::string &endpoint, int timeoutSeconds);

/** A connection that sends several requests in turn until the server closes it. */
class KeepAliveConnection
{
public:
    explicit KeepAliveConnection(const std::string &endpoint, int timeoutSeconds = 15);
    ~KeepAliveConnection();
    KeepAliveConnection(const KeepAliveConnection &) = delete;
    KeepAliveConnection &operator=(const KeepAliveConnection &) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    /** Sends the request and waits for the whole answer, which must have a content-length header. */
    BlockingAnswer send(const BlockingRequest &request);

private:
    void end();

    int m_descriptor;
};

/** Sends one request to "ADDRESS:PORT" on a new connection and waits for the answer. */
BlockingAnswer sendBlocking(const std::string &endpoint, const BlockingRequest &request);
