#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/** Hand-built HTTP/2 frames (RFC 9113) for tests of the server. */
namespace nutmeghinge::http2 {

enum class FrameType : std::uint8_t {
    Data = 0,
    Headers = 1,
    ResetStream = 3,
    Settings = 4,
    GoAway = 7,
    WindowUpdate = 8,
};

inline constexpr std::uint8_t endStream = 1;
inline constexpr std::uint8_t endHeaders = 4;

struct Frame {
    FrameType type = FrameType::Data;
    std::uint8_t flags = 0;
    std::uint32_t stream = 0;
    std::string payload;
};

std::string encode(const Frame &frame);
/** Removes the complete frames from the start of the bytes and returns them. */
std::vector<Frame> takeFrames(std::string &bytes);

/** Returns the connection preface with an empty SETTINGS frame. */
std::string preface();
/** Returns the HEADERS frame of a request to the host "d". */
std::string request(std::uint32_t stream, std::string_view method, bool hasBody, std::string_view path = "/", std::string_view moreHeaders = {});
/** Returns an HPACK-encoded header for request(). Name and value must be shorter than 127 bytes. */
std::string header(std::string_view name, std::string_view value);
std::string windowUpdate(std::uint32_t stream, std::uint32_t bytes);

} // namespace nutmeghinge::http2
