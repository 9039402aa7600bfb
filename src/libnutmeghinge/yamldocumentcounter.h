#pragma once

#include <string>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>

namespace nutmeghinge {

/** Finds whether a YAML text holds more than one document. Reads two at the most. */
class YamlDocumentCounter : public YAML::EventHandler
{
public:
    /** Line of the second document; 0 where there is none. Throws YAML::Exception for what is no YAML. */
    static int lineOfSecondDocument(const std::string &text);

    // NOLINTBEGIN(readability-identifier-naming): names of the library.
    void OnDocumentStart(const YAML::Mark &mark) override { m_line = mark.line + 1; }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &, YAML::anchor_t) override { }
    void OnAlias(const YAML::Mark &, YAML::anchor_t) override { }
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t, const std::string &) override { }
    void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t, YAML::EmitterStyle::value) override { }
    void OnSequenceEnd() override { }
    void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t, YAML::EmitterStyle::value) override { }
    void OnMapEnd() override { }
    // NOLINTEND(readability-identifier-naming)

private:
    int m_line = 0;
};

} // namespace nutmeghinge
