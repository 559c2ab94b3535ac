#include "platform/ConfigurationCodec.h"
#include "platform/ControlCalls.h"
#include "platform/PlatformStore.h"
#include "platform/ProtocolNames.h"
#include "platform/SettingsFile.h"
#include "sidecar/RunSidecar.h"

using namespace coriandergate;

namespace {

auto platformBindings() -> sidecar::PlatformBindings
{
    return { .adapter = { .headers = platform::headerNames(),
                 .readinessPath = std::string(platform::readinessPath),
                 .operatorTable = platform::operatorTable,
                 .configurationKey = platform::configurationKey,
                 .evacuationPrefix = platform::evacuationPrefix,
                 .decodeConfiguration = platform::decodeConfiguration,
                 .isSoundEvacuation = platform::isSoundEvacuation,
                 .decodeControlCall = platform::decodeControlCall },
        .settingsVariable = platform::settingsVariable,
        .readSettings = platform::readSettingsFile,
        .makeStore
        = [](boost::asio::io_context& io, const std::string& address) -> std::unique_ptr<fleet::StoreClient> {
            return std::make_unique<platform::PlatformStore>(io, address);
        } };
}

} // namespace

auto main(int argc, char** argv) -> int { return sidecar::runSidecar(argc, argv, platformBindings()); }
