#pragma once

namespace nutmeghinge {

/** Combines several function objects into one overload set, for std::visit. */
template <typename... Functions>
struct Overloaded : Functions... {
    using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace nutmeghinge
