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
    /** Some bytes of an answer came; told by a KeptConnection only. */
    bool begun = false;
};

/** A request that a test sends. */
struct BlockingRequest {
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    int timeoutSeconds = 15;
};

/** Socket connected to "ADDRESS:PORT", or -1; it waits so long for bytes, 0: for ever. */
int connectTo(const std::string &endpoint, int timeoutSeconds);

/** A connection that is used for request after request until the other side ends it. */
class KeptConnection
{
public:
    explicit KeptConnection(const std::string &endpoint, int timeoutSeconds = 15);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    bool isOpen() const { return m_descriptor >= 0; }
    /** Waits for the whole answer, whose length must be stated. */
    BlockingAnswer send(const BlockingRequest &request);

private:
    void end();

    int m_descriptor;
};

/** Sends one request on a connection of its own to "ADDRESS:PORT" and waits for the answer. */
BlockingAnswer sendBlocking(const std::string &endpoint, const BlockingRequest &request);
