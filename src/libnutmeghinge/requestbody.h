#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmeghinge {

/**
 * Body of a request, in blocks, so that it grows without being copied. Copies share
 * the blocks; only the sole copy of a body may be appended to.
 */
class RequestBody
{
public:
    /** The size of the first block, in bytes, if the body is at least as long. */
    static constexpr std::size_t firstBlockBytes = 65536;
    /** Size of each further block, in bytes. */
    static constexpr std::size_t blockBytes = 262144;

    /** Creates an empty body. */
    RequestBody() = default;
    RequestBody(std::string text);

    void append(std::string_view data);
    /** Keeps the object as long as a copy of the body exists, such as a charge for its memory. */
    void keep(std::shared_ptr<const void> object);

    bool empty() const { return size() == 0; }
    std::size_t size() const { return m_content ? m_content->size : 0; }
    /** Returns the memory that the blocks use, in bytes. */
    std::size_t capacity() const;
    /** Returns the memory that the blocks would use with this number of bytes more. */
    std::size_t capacityWith(std::size_t bytes) const;
    /** Returns the start of the body, at least firstBlockBytes unless the body is shorter. */
    std::string_view start() const;
    const std::vector<std::string> &blocks() const;
    /** Returns a copy of the whole body. */
    std::string text() const;

    friend bool operator==(const RequestBody &body, std::string_view text) { return body.text() == text; }

private:
    struct Content {
        std::size_t size = 0;
        std::vector<std::string> blocks;
        std::shared_ptr<const void> kept;
    };

    Content &content();

    std::shared_ptr<Content> m_content;
};

} // namespace nutmeghinge
