#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/** What one client of a ClientCrowd sends: a prefix, a unit that is repeated, and an end. */
struct ClientStream {
    std::string prefix;
    std::string unit;
    std::uint64_t units = 0;
    std::string end;
};

/**
 * Clients that all connect to one endpoint, send their streams at the same time
 * and then stay connected until close() is called. Connections are made and served in
 * the thread of the caller.
 */
class ClientCrowd
{
public:
    /** Whether the clients read the answers. */
    enum class Reading : std::uint8_t {
        Yes,
        No,
    };

    ClientCrowd(std::string endpoint, std::size_t clients, ClientStream stream, Reading reading);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /** Sends and receives until no byte has moved for two seconds. */
    void run();
    /** Returns how many clients the server has disconnected. */
    std::size_t disconnected() const;
    /** Returns the bytes that the first client with an answer has received. */
    std::string firstAnswer() const;
    /** Disconnects all clients. */
    void close();

private:
    struct Client {
        int descriptor = -1;
        /** Number of bytes of the stream that were sent. */
        std::uint64_t sent = 0;
        bool disconnected = false;
        std::string received;
    };

    std::uint64_t streamSize() const;
    void connectAll();
    /** Each of these returns whether a byte was moved. */
    bool send(Client &client) const;
    bool receive(Client &client) const;

    std::string m_endpoint;
    ClientStream m_stream;
    Reading m_reading;
    /** Repetitions of the unit, about 64 KiB. */
    std::string m_block;
    std::vector<Client> m_clients;
};
