#pragma once

namespace nutmeghinge {

/** Joins function objects into one, for std::visit. */
template <typename... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace nutmeghinge
