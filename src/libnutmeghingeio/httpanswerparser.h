#pragma once

#include "httpmessage.h"
#include "picohttpparser.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace nutmeghinge {

/**
 * Parses one HTTP/1 answer: first its head, then its body. An answer with
 * an ambiguous length counts as malformed.
 */
class HttpAnswerParser
{
public:
    /** More bytes are needed. */
    struct Incomplete {
    };
    /** The bytes are not a valid HTTP/1 answer. */
    struct Malformed {
    };
    /** The head of the final answer. It ends headSize bytes after the start of the parsed bytes. */
    struct Head {
        HttpAnswerHead head;
        std::size_t headSize = 0;
    };
    /** Decoded part of the body, as a view into the bytes passed to parseBody(). */
    struct BodyPart {
        std::string_view data;
        bool complete = false;
        bool malformed = false;
        /** Whether more bytes follow the end of the answer. */
        bool leftover = false;
    };

    /** answersHead: the answer is to a HEAD request and has no body. */
    explicit HttpAnswerParser(bool answersHead)
        : m_answersHead(answersHead)
    {
    }

    /** Parses the head from all bytes received so far. Skips interim (1xx) answers. */
    std::variant<Incomplete, Malformed, Head> parseHead(std::string_view bytes);
    /** Decodes the next bytes of the body in place. */
    BodyPart parseBody(std::span<char> bytes);
    /** Returns whether the body ends when the server closes the connection. */
    bool endsWithConnection() const { return m_framing == Framing::UntilClose; }
    /** Returns whether the server keeps the connection open after this answer. */
    bool isPersistent() const { return m_persistent && !endsWithConnection(); }

private:
    enum class Framing : std::uint8_t {
        NoBody,
        Length,
        Chunked,
        UntilClose,
    };

    /** Determines framing and persistence. Returns false if the head is malformed. */
    bool interpretHead(int minorVersion, HttpAnswerHead &head);
    void chooseFraming(const HttpAnswerHead &head, bool chunked);
    BodyPart parseChunks(std::span<char> bytes);

    Framing m_framing = Framing::UntilClose;
    bool m_answersHead = false;
    bool m_persistent = false;
    std::uint64_t m_bytesLeft = 0;
    phr_chunked_decoder m_chunks{};
    /** Bytes of chunk sizes, extensions and trailers since the last byte of the body. */
    std::size_t m_chunkOverhead = 0;
};

} // namespace nutmeghinge
