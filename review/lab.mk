# Builds the stand-ins of the second review's scripts; see build-2.sh.
include Makefile

LAB := $(sort $(wildcard review/lab/*.c))

$(OUT)/fwlab: $(call OBJ,obj,$(CORE) $(call NOMAIN,$(IO)) \
              $(call NOMAIN,$(WIRE)) $(LAB))
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(PKG_LIBS)
