# Sourced by the run.sh of a case: runs case.py in its folder.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
export PYTHONPATH="target/deps:review/common:."
export PYTHONDONTWRITEBYTECODE=1
if ! python3 -c "import deployment" 2>/dev/null; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
exec python3 "$folder/case.py"
