# Builds the programs, the tests and the seeded runs; see README.md.
#   build/obj   release objects
#   build/san   tests, under ASan and UBSan, with planted faults compiled in
#   build/tst   optimised, with planted faults compiled in (explore)

# Everything that is made goes below this folder.
OUT = build
CC = gcc
PKGS = glib-2.0 gio-2.0 libsoup-3.0 msgpack json-glib-1.0 libxxhash
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lcsv -lhttp_parser -lm
CHECK_LIBS := $(shell pkg-config --libs check 2>/dev/null)
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
       -Wvla -Werror
BASE = -std=gnu11 -D_GNU_SOURCE -Isrc -I. $(WARN) $(PKG_CFLAGS) -MMD -MP
CFLAGS_obj = $(BASE) -O2 -g
CFLAGS_tst = $(BASE) -O2 -g -DFW_TEST_BUILD
CFLAGS_san = $(BASE) -O1 -g -DFW_TEST_BUILD -fno-omit-frame-pointer \
             -fsanitize=address,undefined -fno-sanitize-recover=undefined
LD_san = -fsanitize=address,undefined

CORE_DIRS = base core decide demand speed held config fleet limit idem route request order operate node relay
CORE := $(sort $(wildcard $(CORE_DIRS:%=src/%/*.c)))
IO := $(sort $(wildcard src/io/*.c src/http/*.c \
      src/relayd/*.c platform/*.c) src/daemon/ini.c)
DAEMON := $(sort $(filter-out src/daemon/ini.c,$(wildcard src/daemon/*.c)))
CTL := $(sort $(wildcard src/ctl/*.c))
STAND := $(sort $(wildcard stand/*.c))
WIRE := $(sort $(wildcard stand/wire/*.c))
LOAD := $(sort $(wildcard bench/load/*.c))
BENCH := $(sort $(wildcard bench/bench_*.c))
SOAK := $(sort $(wildcard soak/*.c))
EXPLORE := $(sort $(wildcard explore/*.c))
TESTS := $(sort $(wildcard tests/*/test_*.c))
TEST_LIB := $(sort $(filter-out $(TESTS),$(wildcard tests/*/*.c)))
SOURCES := $(CORE) $(IO) $(DAEMON) $(CTL) $(STAND) $(WIRE) $(LOAD) $(BENCH) \
           $(EXPLORE) $(SOAK) $(TESTS) $(TEST_LIB)
HEADERS := $(sort $(wildcard src/*/*.h platform/*.h stand/*.h stand/*/*.h bench/*.h bench/*/*.h \
           explore/*.h soak/*.h tests/*/*.h))

# A main file is linked into its own program only, never into the libraries.
NOMAIN = $(filter-out %/main.c,$(1))
OBJ = $(patsubst %.c,$(OUT)/$(1)/%.o,$(2))

PROGRAMS := $(OUT)/fuchsiawardd
ifneq ($(CTL),)
PROGRAMS += $(OUT)/fuchsiaward
endif
ifneq ($(STAND),)
PROGRAMS += $(OUT)/fwstand $(OUT)/fwwire
endif
ifneq ($(LOAD),)
PROGRAMS += $(OUT)/fwload
endif
ifneq ($(EXPLORE),)
PROGRAMS += $(OUT)/explore
endif
ifneq ($(SOAK),)
PROGRAMS += $(OUT)/fwsoak
endif
BENCHES := $(patsubst bench/%.c,$(OUT)/%,$(BENCH))
TEST_BINS := $(patsubst tests/%.c,$(OUT)/san/bin/%,$(TESTS))

all: $(PROGRAMS)

$(OUT)/fuchsiawardd: $(call OBJ,obj,$(CORE) $(IO) $(DAEMON))
$(OUT)/fuchsiaward: $(call OBJ,obj,$(CORE) $(call NOMAIN,$(IO)) $(CTL))
$(OUT)/fwstand: $(call OBJ,obj,$(STAND))
$(OUT)/fwwire: $(call OBJ,obj,$(CORE) $(IO) $(WIRE))
$(OUT)/fwload: $(call OBJ,obj,$(CORE) $(IO) $(LOAD))
$(OUT)/explore: $(call OBJ,tst,$(CORE) $(EXPLORE) src/http/head.c src/http/body.c)
$(OUT)/fwsoak: $(call OBJ,obj,$(CORE) $(call NOMAIN,$(IO)) \
               $(call NOMAIN,$(WIRE)) $(SOAK))
$(PROGRAMS):
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(PKG_LIBS)

# The daemon with planted faults, for fwsoak --fault.
$(OUT)/tst/fuchsiawardd: $(call OBJ,tst,$(CORE) $(IO) $(DAEMON))
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) -o $@ $^ $(PKG_LIBS)

$(BENCHES): $(OUT)/%: $(OUT)/obj/bench/%.o \
                    $(call OBJ,obj,$(CORE) $(IO) $(call NOMAIN,$(EXPLORE)))
	@echo "LD $@"
	@$(CC) -o $@ $^ $(PKG_LIBS)

$(OUT)/san/libfw.a: $(call OBJ,san,$(CORE) $(IO) $(call NOMAIN,$(DAEMON)) \
                   $(call NOMAIN,$(CTL)) $(call NOMAIN,$(STAND)) \
                   $(call NOMAIN,$(WIRE)) \
                   $(call NOMAIN,$(EXPLORE)) $(call NOMAIN,$(LOAD)) \
                   $(TEST_LIB))
	@rm -f $@
	@ar rcs $@ $^
$(TEST_BINS): $(OUT)/san/bin/%: $(OUT)/san/tests/%.o $(OUT)/san/libfw.a
	@mkdir -p $(@D)
	@echo "LD $@"
	@$(CC) $(LD_san) -o $@ $^ $(PKG_LIBS) $(CHECK_LIBS)

$(OUT)/obj/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $@"
	@$(CC) $(CFLAGS_obj) -c -o $@ $<
$(OUT)/tst/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $@"
	@$(CC) $(CFLAGS_tst) -c -o $@ $<
$(OUT)/san/%.o: %.c
	@mkdir -p $(@D)
	@echo "CC $@"
	@$(CC) $(CFLAGS_san) -c -o $@ $<

# The two commands of the README install what is missing, then start over
# with pkg-config able to answer.
check:
	tools/deps
	$(MAKE) check-run
check-run: $(TEST_BINS) all
	tools/check $(TEST_BINS)

demo:
	tools/deps
	$(MAKE) all
	tools/demo $(DOC)
	tools/demo-relay

SEED = 1
MINUTES = 1
soak: all
	build/fwsoak --seed $(SEED) --seconds $$(( $(MINUTES) * 60 ))

bench: $(BENCHES) all
	@for b in $(BENCHES); do echo "== $$b"; $$b || exit 1; done

format:
	clang-format -i $(SOURCES) $(HEADERS)

# Stamps keep a second lint run to what changed.
LINT := $(patsubst %.c,$(OUT)/lint/%.ok,$(SOURCES))
$(OUT)/lint/%.ok: %.c $(HEADERS) .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(BASE) -Wno-unknown-warning-option \
	    $(if $(filter tests/% explore/%,$<),-DFW_TEST_BUILD) \
	    > $@.log 2>&1 || { cat $@.log; exit 1; }
	@touch $@
format-check:
	@clang-format --dry-run --Werror $(SOURCES) $(HEADERS)
lint: format-check $(LINT)

clean:
	rm -rf $(OUT)

.PHONY: all check check-run demo soak bench format format-check lint clean
.SECONDARY:
-include $(shell find $(OUT) -name '*.d' 2>/dev/null)
