#pragma once

#include "wire.h"

#include <cstdio>
#include <mutex>
#include <string>

namespace review {

/** Writes record.txt: one line for each thing that was sent, answered or run, with milliseconds since the start. */
class Record
{
public:
    explicit Record(const std::string &fileName);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    /** Adds a line to the file. */
    void add(const std::string &line);
    /** Adds a line to the file and prints it. */
    void say(const std::string &line);

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    Clock::time_point m_startedAt = Clock::now();
};

} // namespace review
