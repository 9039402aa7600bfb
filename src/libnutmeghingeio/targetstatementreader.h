#pragma once

#include "httpmessage.h"
#include "targetstatement.h"

#include <string_view>

namespace nutmeghinge {

/** Names of the headers in which a target says something about itself, in lower case. */
struct TargetStatementHeaders {
    /** Requests per second that the target takes, as a decimal number without sign or exponent. */
    std::string_view limit;
    /** "1" if the target is about to stop. */
    std::string_view leaving;
};

/**
 * Reads a target's statement from the head of its answer. Of several limits the
 * lowest counts. A limit that is no plain decimal number and a leaving header
 * with another value are reported as the statement's problem.
 */
TargetStatement readTargetStatement(const HttpHeaders &headers, const TargetStatementHeaders &names);

} // namespace nutmeghinge
