#include "ctl/ctl.h"

int
main(int argc, char **argv)
{
    return Fw_Ctl_Main(argc, argv);
}
