#include "requestmethod.h"

namespace nutmeghinge {

bool isSafeMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE";
}

bool isIdempotentMethod(std::string_view method)
{
    return isSafeMethod(method) || method == "PUT" || method == "DELETE";
}

} // namespace nutmeghinge
