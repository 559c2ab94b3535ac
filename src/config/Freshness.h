// How far the configuration of a daemon may be relied on.
#pragma once

namespace coriandergate::config {

// Freshness grows worse with the time since the daemon last heard the store or a peer answer a question of its own.
enum class Freshness {
    None, // no configuration yet: serve nothing
    Current, // serve
    KeysExpired, // serve open routes only: a key may have been withdrawn meanwhile
    Expired, // serve nothing
};

} // namespace coriandergate::config
