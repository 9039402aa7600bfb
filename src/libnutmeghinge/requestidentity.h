#pragma once

#include "strongtype.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmeghinge {

/** Cryptographic hash of what a request asks for. */
using RequestDigest = StrongType<struct RequestDigestTag, std::array<std::uint8_t, 16>>;
/** Cryptographic hash of who sent a request. */
using CallerDigest = StrongType<struct CallerDigestTag, std::uint64_t>;

/** What two attempts of a caller to send the same request have in common, whichever nodes they arrive at. */
struct RequestIdentity {
    RequestDigest content;
    CallerDigest caller;

    friend bool operator==(const RequestIdentity &, const RequestIdentity &) = default;
};

/** The parts of a request that identify it. */
struct IdentifyingParts {
    std::string_view method;
    /** In lower case, without the port. */
    std::string_view host;
    /** With the query. */
    std::string_view path;
    /** Empty if the request has none. */
    std::string_view key;
    /** The body or at least its first 64 KiB. */
    std::string_view body;
    /** What identifies the caller; empty if nothing does. */
    std::string_view caller;
    /** Size of the body in bytes, if only its start is given. */
    std::uint64_t bodySize = 0;
};

/**
 * Identifies a request by SHA-256. The service is left out, as host and path
 * determine it and a route may be divided between services. Of a body longer than
 * 64 KiB only the length and the first 64 KiB count.
 */
RequestIdentity identify(const IdentifyingParts &parts);

/** Returns the first halves of both digests as hexadecimal digits, "CONTENT/CALLER", for logs. */
std::string toText(const RequestIdentity &identity);

} // namespace nutmeghinge
