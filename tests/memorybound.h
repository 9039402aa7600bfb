#pragma once

#include <sys/resource.h>

/** Bounds the test program's address space, so that a runaway test fails alone. */
inline void boundMemory()
{
    constexpr rlim_t limitBytes = rlim_t(4) << 30U;
    const rlimit limit{limitBytes, limitBytes};
    setrlimit(RLIMIT_AS, &limit);
}
