#include "state/ring.h"
#include "transport/admin_service.h"
#include "transport/control_service.h"
#include "transport/data_service.h"
