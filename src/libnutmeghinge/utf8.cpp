#include "utf8.h"

namespace nutmeghinge {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

bool isContinuation(unsigned char byte)
{
    return (byte & 0xc0U) == 0x80U;
}

/** Returns the length in bytes of the character that starts with the given byte; 0 if no printable character starts with it. */
std::size_t lengthOfCharacter(unsigned char first)
{
    if (first < deleteCharacter) {
        return first >= firstPrintable || first == '\t' || first == '\n' || first == '\r' ? 1 : 0;
    }
    if (first >= 0xc2U && first <= 0xdfU) {
        return 2;
    }
    if (first >= 0xe0U && first <= 0xefU) {
        return 3;
    }
    return first >= 0xf0U && first <= 0xf4U ? 4 : 0;
}

} // namespace

std::size_t findUnprintable(std::string_view text)
{
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t length = lengthOfCharacter(static_cast<unsigned char>(text[position]));
        if (length == 0 || length > text.size() - position) {
            return position;
        }
        for (std::size_t i = 1; i < length; ++i) {
            if (!isContinuation(static_cast<unsigned char>(text[position + i]))) {
                return position;
            }
        }
        position += length;
    }
    return std::string_view::npos;
}

} // namespace nutmeghinge
