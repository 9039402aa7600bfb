#pragma once
#include "documentparser.h"
#include "endpoint.h"
#include "ids.h"
#include "logsetup.h"
#include <fstream>
#include <yaml-cpp/yaml.h>
namespace nutmeghinge {
struct NodeSettings {
    NodeName node;
    ZoneName zone;
    RegionName region;
    Endpoint platform, listenCallers, listenPeers, listenControl, listenTarget, listenOperations;
    std::string logLevel = "info";
    LogFormat logFormat = LogFormat::Text;
    std::size_t timelineRecords = 20000;
};
inline Endpoint ep(const std::string &t)
{
    auto c = t.rfind(':');
    return {t.substr(0, c), (uint16_t)std::stoi(t.substr(c + 1))};
}
inline std::variant<NodeSettings, std::vector<DocumentFault>> readNodeSettings(const std::string &file)
{
    auto y = YAML::LoadFile(file);
    NodeSettings s;
    s.node = NodeName(y["node"].as<std::string>());
    s.zone = ZoneName(y["zone"].as<std::string>());
    s.region = RegionName(y["region"].as<std::string>());
    s.platform = ep(y["platform"].as<std::string>());
    auto l = y["listen"];
    s.listenCallers = ep(l["callers"].as<std::string>());
    s.listenPeers = ep(l["peers"].as<std::string>());
    s.listenControl = ep(l["control"].as<std::string>());
    s.listenTarget = ep(l["target"].as<std::string>());
    s.listenOperations = ep(l["operations"].as<std::string>());
    return s;
}
} // namespace nutmeghinge
