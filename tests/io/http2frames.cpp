#include "http2frames.h"

namespace nutmeghinge::http2 {

namespace {

constexpr std::size_t frameHeadBytes = 9;

std::string bigEndian(std::uint32_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(value >> shift);
    }
    return text;
}

std::uint32_t parse(std::string_view bytes)
{
    std::uint32_t value = 0;
    for (const char byte : bytes) {
        value = value << 8 | static_cast<std::uint8_t>(byte);
    }
    return value;
}

} // namespace

std::string encode(const Frame &frame)
{
    std::string bytes = bigEndian(static_cast<std::uint32_t>(frame.payload.size()), 3);
    bytes += static_cast<char>(frame.type);
    bytes += static_cast<char>(frame.flags);
    return bytes + bigEndian(frame.stream, 4) + frame.payload;
}

std::vector<Frame> takeFrames(std::string &bytes)
{
    std::vector<Frame> frames;
    while (bytes.size() >= frameHeadBytes) {
        const std::string_view view = bytes;
        const std::size_t size = parse(view.substr(0, 3));
        if (bytes.size() < frameHeadBytes + size) {
            break;
        }
        frames.push_back({.type = static_cast<FrameType>(bytes[3]),
                          .flags = static_cast<std::uint8_t>(bytes[4]),
                          .stream = parse(view.substr(5, 4)),
                          .payload = bytes.substr(frameHeadBytes, size)});
        bytes.erase(0, frameHeadBytes + size);
    }
    return frames;
}

std::string preface()
{
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + encode({.type = FrameType::Settings, .flags = 0, .stream = 0, .payload = {}});
}

std::string request(std::uint32_t stream, std::string_view method, bool hasBody, std::string_view path, std::string_view moreHeaders)
{
    // HPACK: indexed :scheme http, then literals without indexing for :authority, :method and :path.
    const auto literal = [](char name, std::string_view value) { return std::string{name, static_cast<char>(value.size())} + std::string(value); };
    const std::string block = "\x86" + literal(1, "d") + literal(2, method) + literal(4, path) + std::string(moreHeaders);
    const std::uint8_t flags = hasBody ? endHeaders : endHeaders | endStream;
    return encode({.type = FrameType::Headers, .flags = flags, .stream = stream, .payload = block});
}

std::string header(std::string_view name, std::string_view value)
{
    const auto text = [](std::string_view bytes) { return static_cast<char>(bytes.size()) + std::string(bytes); };
    return std::string(1, '\0') + text(name) + text(value);
}

std::string windowUpdate(std::uint32_t stream, std::uint32_t bytes)
{
    return encode({.type = FrameType::WindowUpdate, .flags = 0, .stream = stream, .payload = bigEndian(bytes, 4)});
}

} // namespace nutmeghinge::http2
