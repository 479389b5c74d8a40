#include "coordination/controller.h"
