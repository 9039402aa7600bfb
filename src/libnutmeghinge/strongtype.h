#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace nutmeghinge {

/**
 * Wraps a value in a distinct type, so that for example a shard index cannot be passed
 * as a member slot. Tag is never defined; Rep is the stored representation.
 */
template <typename Tag, typename Rep>
class StrongType
{
public:
    constexpr StrongType() = default;
    constexpr explicit StrongType(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep &value() const { return m_value; }

    friend constexpr auto operator<=>(const StrongType &, const StrongType &) = default; // NOLINT(modernize-use-nullptr)
    friend constexpr bool operator==(const StrongType &, const StrongType &) = default;

private:
    Rep m_value{};
};

} // namespace nutmeghinge

template <typename Tag, typename Rep>
struct std::hash<nutmeghinge::StrongType<Tag, Rep>> {
    std::size_t operator()(const nutmeghinge::StrongType<Tag, Rep> &id) const noexcept { return std::hash<Rep>()(id.value()); }
};
