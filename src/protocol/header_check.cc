#include "protocol/platform_protocol.h"
#include "protocol/record_codec.h"
#include "protocol/settings.h"
#include "protocol/target_protocol.h"
