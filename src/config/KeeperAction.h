// What a ConfigurationKeeper asks its owner to do. The owner reports each outcome back to the keeper.
#pragma once

#include "config/ConfigurationHead.h"

#include <string>
#include <variant>

namespace coriandergate::config {

// PollStore: read the head row; report with onStoreHead() or onStoreFailed().
struct PollStore { };

// AskPeer: ask `peer` for its head; report with onPeerHead() or onPeerFailed().
struct AskPeer {
    std::string peer;
};

// AnnounceToPeer: tell `peer` of `head`; no answer is needed.
struct AnnounceToPeer {
    std::string peer;
    ConfigurationHead head;
};

// Pull: fetch what leads from `from` to `to`, from `peer`, or from the store when `peer` is empty; report with
// onDelta(), onSnapshot() or onPullFailed().
struct Pull {
    std::string peer;
    ConfigurationHead from;
    ConfigurationHead to;

    friend auto operator==(const Pull&, const Pull&) -> bool = default;
};

using KeeperAction = std::variant<PollStore, AskPeer, AnnounceToPeer, Pull>;

} // namespace coriandergate::config
