#pragma once

#include "httpmessage.h"
#include "picohttpparser.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/**
 * Parses one HTTP/1 answer: first its head, then its body. Answers whose length
 * can be read in two ways are malformed.
 */
class HttpAnswerParser
{
public:
    /** More bytes are needed. */
    struct Incomplete {
    };
    /** The bytes are no HTTP/1 answer. */
    struct Malformed {
    };
    /** A final head; its bytes are the first headSize of those given. */
    struct Head {
        HttpAnswerHead head;
        std::size_t headSize = 0;
    };
    /** Decoded part of the body; a view into the bytes given. */
    struct BodyPart {
        std::string_view data;
        bool complete = false;
        bool malformed = false;
        /** Bytes follow the answer. */
        bool leftover = false;
    };

    /** Answers to HEAD have no body. */
    explicit HttpAnswerParser(bool answersHead)
        : m_answersHead(answersHead)
    {
    }

    /** Parses the head from all bytes received so far; skips interim answers. */
    std::variant<Incomplete, Malformed, Head> parseHead(std::string_view bytes);
    /** Takes up the next bytes of the body and decodes them in place. */
    BodyPart parseBody(std::span<char> bytes);
    /** The body ends with the connection. */
    bool endsWithConnection() const { return m_framing == Framing::UntilClose; }
    /** The other side keeps the connection open after this answer. */
    bool isPersistent() const { return m_persistent && !endsWithConnection(); }

private:
    enum class Framing : std::uint8_t {
        NoBody,
        Length,
        Chunked,
        UntilClose,
    };

    bool takeHead(int minorVersion, HttpAnswerHead &head);
    void chooseFraming(const HttpAnswerHead &head, bool chunked);
    BodyPart parseChunks(std::span<char> bytes);

    Framing m_framing = Framing::UntilClose;
    bool m_answersHead = false;
    bool m_persistent = false;
    std::uint64_t m_bytesLeft = 0;
    phr_chunked_decoder m_chunks{};
};

} // namespace nutmeghinge
