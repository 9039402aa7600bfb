#include "record.h"

namespace review {

Record::Record(const std::string &fileName)
    : m_file(std::fopen(fileName.c_str(), "w"))
{
}

Record::~Record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
        const auto now = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
        std::fprintf(m_file, "%7lld %s\n", static_cast<long long>(now), line.c_str());
        std::fflush(m_file);
    }
}

void Record::say(const std::string &line)
{
    add(line);
    std::printf("%s\n", line.c_str());
    std::fflush(stdout);
}

} // namespace review
