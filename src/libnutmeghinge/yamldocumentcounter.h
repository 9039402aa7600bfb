#pragma once

#include <string>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>

namespace nutmeghinge {

/** Detects whether a YAML text contains more than one document. Parses at most two. */
class YamlDocumentCounter : public YAML::EventHandler
{
public:
    /** Returns the line of the second document; 0 if there is none. Throws YAML::Exception if the text is not valid YAML. */
    static int lineOfSecondDocument(const std::string &text);

    // NOLINTBEGIN(readability-identifier-naming): names given by yaml-cpp.
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
