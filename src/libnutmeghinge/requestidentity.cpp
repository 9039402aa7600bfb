#include "requestidentity.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <initializer_list>
#include <memory>
#include <openssl/evp.h>

namespace nutmeghinge {

namespace {

constexpr std::size_t hashedBodyBytes = 65536;
constexpr std::size_t contentBytesInText = 8;
constexpr std::size_t callerBytesInText = 4;

using Sha256 = std::array<std::uint8_t, 32>;

struct HashedField {
    HashedField(std::string_view fieldText, std::uint64_t fieldSize = 0)
        : text(fieldText)
        , size(std::max<std::uint64_t>(fieldText.size(), fieldSize))
    {
    }

    /** The field or at least its first hashedBodyBytes. */
    std::string_view text;
    std::uint64_t size;
};

/** Returns the hash of the fields, each preceded by its length, so that no two lists of fields give the same bytes. */
Sha256 hashFields(std::initializer_list<HashedField> fields)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    bool done = context && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
    for (const HashedField &field : fields) {
        done = done && EVP_DigestUpdate(context.get(), &field.size, sizeof(field.size)) == 1;
        done = done && EVP_DigestUpdate(context.get(), field.text.data(), std::min(field.text.size(), hashedBodyBytes)) == 1;
    }
    Sha256 hash{};
    done = done && EVP_DigestFinal_ex(context.get(), hash.data(), nullptr) == 1;
    assert(done);
    return hash;
}

void appendHex(std::string &text, std::uint8_t byte)
{
    constexpr std::string_view digits = "0123456789abcdef";
    text += digits[byte >> 4U];
    text += digits[byte & 15U];
}

} // namespace

RequestIdentity identify(const IdentifyingParts &parts)
{
    const Sha256 content = hashFields({parts.method, parts.host, parts.path, parts.key, HashedField(parts.body, parts.bodySize)});
    const Sha256 caller = hashFields({parts.caller});
    std::array<std::uint8_t, 16> digest{};
    std::copy_n(content.begin(), digest.size(), digest.begin());
    std::uint64_t callerDigest = 0;
    std::memcpy(&callerDigest, caller.data(), sizeof(callerDigest));
    return {RequestDigest(digest), CallerDigest(callerDigest)};
}

std::string toText(const RequestIdentity &identity)
{
    std::string text;
    for (std::size_t i = 0; i < contentBytesInText; ++i) {
        appendHex(text, identity.content.value()[i]);
    }
    text += '/';
    for (std::size_t i = 0; i < callerBytesInText; ++i) {
        appendHex(text, static_cast<std::uint8_t>(identity.caller.value() >> (8 * i)));
    }
    return text;
}

} // namespace nutmeghinge
