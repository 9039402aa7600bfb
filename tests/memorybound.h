#pragma once

#include <sys/resource.h>

/** Limits the test program's address space, so that a test that allocates without bound fails without affecting other processes. */
inline void boundMemory()
{
    constexpr rlim_t limitBytes = rlim_t(4) << 30U;
    const rlimit limit{limitBytes, limitBytes};
    setrlimit(RLIMIT_AS, &limit);
}
