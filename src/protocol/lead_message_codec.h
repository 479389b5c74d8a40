#pragma once

#include <span>
#include <string>

#include "coordination/lead_message.h"
#include "state/result.h"

namespace snipehall {

// A message as one datagram, in Cap'n Proto's packed form.
std::string EncodeLeadMessage(const LeadMessage& message);

// Fails with kCorrupt when the bytes are no message.
Result<LeadMessage> DecodeLeadMessage(std::span<const char> bytes);

}  // namespace snipehall
