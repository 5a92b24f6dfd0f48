# Reads the output of go test and exits 1 unless every failure is a test of the
# variable listed, which holds lines of "package test". A test whose subtests
# failed counts by its subtests. A package that failed without a failed test,
# as by a panic, a time limit or a build error, is never passed over.

BEGIN {
	count = split(listed, lines, "\n")
	for (i = 1; i <= count; i++) {
		known[lines[i]] = 1
	}
}

/^[ \t]*--- FAIL: / {
	failed[++failures] = $3
}

/^panic: / || /^fatal error: / || /^WARNING: DATA RACE/ {
	crashed = 1
}

/^FAIL\t/ {
	judge($2)
}

# A package that passed ends what was printed before it.
/^(ok|\?) / {
	forget()
}

function judge(package,  i, k, leaf, passed) {
	passed = failures > 0 && !crashed
	for (i = 1; i <= failures; i++) {
		leaf = 1
		for (k = 1; k <= failures; k++) {
			if (index(failed[k], failed[i] "/") == 1) {
				leaf = 0
			}
		}
		if (leaf && !((package " " failed[i]) in known)) {
			printf "not listed in KNOWN-RED.txt: %s %s\n", package, failed[i]
			passed = 0
		}
	}
	if (!passed) {
		printf "failed: %s\n", package
		bad = 1
	}
	judged++
	forget()
}

function forget() {
	delete failed
	failures = 0
	crashed = 0
}

END {
	if (!judged) {
		print "go test failed before it judged a package"
		bad = 1
	}
	exit bad
}
