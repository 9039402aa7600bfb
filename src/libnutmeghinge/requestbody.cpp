#include "requestbody.h"

#include <algorithm>
#include <cassert>

namespace nutmeghinge {

RequestBody::RequestBody(std::string text)
{
    if (!text.empty()) {
        m_content = std::make_shared<Content>();
        m_content->size = text.size();
        m_content->blocks.push_back(std::move(text));
    }
}

void RequestBody::append(std::string_view data)
{
    if (data.empty()) {
        return;
    }
    Content &own = content();
    assert(m_content.use_count() == 1);
    own.size += data.size();
    while (!data.empty()) {
        const std::size_t limit = own.blocks.size() <= 1 ? firstBlockBytes : blockBytes;
        if (own.blocks.empty() || own.blocks.back().size() >= limit) {
            own.blocks.emplace_back();
            if (own.blocks.size() > 1) {
                own.blocks.back().reserve(blockBytes);
            }
            continue;
        }
        std::string &block = own.blocks.back();
        const std::string_view part = data.substr(0, limit - block.size());
        block.append(part);
        data.remove_prefix(part.size());
    }
}

void RequestBody::keep(std::shared_ptr<const void> object)
{
    content().kept = std::move(object);
}

std::size_t RequestBody::capacity() const
{
    std::size_t bytes = 0;
    for (const std::string &block : blocks()) {
        bytes += block.capacity();
    }
    return bytes;
}

std::size_t RequestBody::capacityWith(std::size_t bytes) const
{
    const std::size_t needed = size() + bytes;
    if (needed <= firstBlockBytes) {
        // The first block may grow by doubling its capacity.
        return std::min(std::max(capacity(), 2 * needed), 2 * firstBlockBytes);
    }
    return std::max(capacity(), 2 * firstBlockBytes + (needed - firstBlockBytes + blockBytes - 1) / blockBytes * blockBytes);
}

std::string_view RequestBody::start() const
{
    return blocks().empty() ? std::string_view() : std::string_view(blocks().front());
}

const std::vector<std::string> &RequestBody::blocks() const
{
    static const std::vector<std::string> none;
    return m_content ? m_content->blocks : none;
}

std::string RequestBody::text() const
{
    std::string text;
    text.reserve(size());
    for (const std::string &block : blocks()) {
        text += block;
    }
    return text;
}

RequestBody::Content &RequestBody::content()
{
    if (!m_content) {
        m_content = std::make_shared<Content>();
    }
    return *m_content;
}

} // namespace nutmeghinge
