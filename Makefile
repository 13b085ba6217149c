# Developer tasks. The commands that build and start a deployment are read from deploy/balancer.toml.
key = $(shell sed -n 's/^$(1) = "\(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: all build test lint run stand-in ci clean

all: build

build: ## the proxy, as a deployment builds it, and the lab
	$(call key,build)
	mvn -q -B -DskipTests package

test: ## all tests and format checks; leaves out the tests that KNOWN-RED.txt lists
	mkdir -p target
	sed -n 's/^test: //p' KNOWN-RED.txt > target/known-red
	mvn -B verify -Dsurefire.excludesFile=$(CURDIR)/target/known-red

lint: ## compiler warnings, format and size limits
	mvn -B -q clean test-compile checkstyle:check@format
	mvn -B -q test -pl proxy -Dtest='LimitsTest,LayersTest'

run: build ## a proxy on 127.0.0.1:3000, for the peers of make stand-in
	LB_CONFIG=example/config.json sh -c '$(call key,run)'

stand-in: build ## a stub directory and two stub providers, for make run
	bin/amberhoist lab stand-in

ci:
	.ci/run

clean:
	mvn -B -q clean
