# A short soak test, and then the seeds that once failed, with the default
# length.  TIMES=0: only what does not depend on the machine's speed is checked.
TIMES=0
PORT_BASE=${PORT_BASE:-17000}
export TIMES PORT_BASE B
SEED=1 SECONDS_LONG=8 FAULTS=10 sh t/soak.sh || exit 1
sed '/^#/d' t/soak-seeds.txt | while read -r seed cause
do
	echo "seed $seed: $cause"
	SEED=$seed sh t/soak.sh </dev/null || exit 1
done
