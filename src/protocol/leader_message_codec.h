#pragma once

#include <span>
#include <string>

#include "coordination/leader_message.h"
#include "state/result.h"

namespace snipehall {

// Encodes a message as the payload of one datagram, in the packed encoding of
// Cap'n Proto; see lead_message.capnp.
std::string EncodeLeaderMessage(const LeaderMessage& message);

// Decodes the payload of a datagram. Fails with kCorrupt if it is malformed or
// has an unknown kind of content.
Result<LeaderMessage> DecodeLeaderMessage(std::span<const char> bytes);

}  // namespace snipehall
