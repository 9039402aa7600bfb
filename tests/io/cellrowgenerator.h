#pragma once

#include "cellrow.h"

#include <rapidcheck.h>

namespace nutmeghinge {

rc::Gen<Member> anyMember();
rc::Gen<CellRow> anyCellRow();

} // namespace nutmeghinge
