# Tasks of the project; deploy/balancer.toml says how operators build and start it.
key = $(shell sed -n 's/^$(1) = "\(.*\)"$$/\1/p' deploy/balancer.toml)

.PHONY: all build test lint run stand-in ci clean

all: build

build: ## the proxy as a deployment builds it, and the laboratory
	$(call key,build)
	mvn -q -B -DskipTests package

test: ## all tests and format checks
	mvn -B verify

lint: ## every compiler warning is an error; then format and limits
	mvn -B -q clean test-compile checkstyle:check@format
	mvn -B -q test -pl proxy -Dtest='LimitsTest,LayersTest'

run: build ## one proxy on 127.0.0.1:3000, for the stand-ins
	LB_CONFIG=example/config.json sh -c '$(call key,run)'

stand-in: build ## a directory and two providers for it
	bin/amberhoist lab stand-in

ci:
	.ci/run

clean:
	mvn -B -q clean
