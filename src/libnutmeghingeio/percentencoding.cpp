#include "percentencoding.h"

#include <charconv>
#include <cstdint>

namespace nutmeghinge {

namespace {

constexpr std::size_t sequenceLength = 3;

bool isUnreserved(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || std::string_view("-._~/").find(character) != std::string_view::npos;
}

} // namespace

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        if (isUnreserved(character)) {
            result += character;
            continue;
        }
        const auto byte = static_cast<std::uint8_t>(character);
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 15U];
    }
    return result;
}

std::string percentDecode(std::string_view text)
{
    std::string result;
    while (!text.empty()) {
        std::uint8_t byte = 0;
        if (text.front() == '%' && text.size() >= sequenceLength) {
            const char *end = text.data() + sequenceLength;
            const auto [parsed, error] = std::from_chars(text.data() + 1, end, byte, 16);
            if (error == std::errc() && parsed == end) {
                result += static_cast<char>(byte);
                text.remove_prefix(sequenceLength);
                continue;
            }
        }
        result += text.front();
        text.remove_prefix(1);
    }
    return result;
}

} // namespace nutmeghinge
